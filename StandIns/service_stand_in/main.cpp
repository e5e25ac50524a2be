#include "LibStandIn/stand_in_program.h"
#include "service_stand_in/service_server.h"

#include <memory>

using namespace spindle;

static int serve(int Count, const char **Arguments) {
  service_server_settings Settings;
  int Latency = 0;
  const stand_in_settings Common = readStandInSettings(
      Count, Arguments,
      {{.Name = "name", .Help = "name in answers", .Text = &Settings.Name},
       {.Name = "latency-ms",
        .Help = "time that each call takes",
        .Number = &Latency},
       {.Name = "deduplicates",
        .Help = "run each order key once",
        .Flag = &Settings.Deduplicates}});
  Settings.Latency = milliseconds(Latency);
  return runStandIn(Common, [&Settings](fiber_runtime &) {
    const std::shared_ptr<service_server> Server =
        std::make_shared<service_server>(Settings);
    return [Server](http_exchange &Exchange) { Server->handle(Exchange); };
  });
}

int main(int Count, const char **Arguments) {
  return guardMain([&] { return serve(Count, Arguments); });
}
