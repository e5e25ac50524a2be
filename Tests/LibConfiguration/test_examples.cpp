#include "LibConfiguration/configuration_snapshot.h"
#include "LibConfiguration/intent_text.h"
#include "LibSettings/host_settings.h"

#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

using namespace spindle;

static std::string readExample(const std::string &Name) {
  std::ifstream File(std::string(SPINDLE_SOURCE_DIRECTORY) + "/Examples/" +
                     Name);
  REQUIRE(File);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

TEST_CASE("the examples are valid and have the specified sizes") {
  for (const std::string Name : {"deksel", "hoshibi"}) {
    INFO(Name);
    const std::string File = Name + ".intent.json";
    const configuration_snapshot Snapshot(1,
                                          parseIntent(readExample(File), File));
    CHECK(Snapshot.zones().size() == 3);
    CHECK(Snapshot.customers().size() == 5);
    CHECK(Snapshot.adapterCount() == 3'000);
    CHECK(Snapshot.upstreamsOfRoute("completions").size() == 9);
    CHECK(Snapshot.upstreamsOfRoute("stock").size() == 3);
    CHECK(Snapshot.findRoute("/stock/lids")->Idempotent);
    const std::string SettingsFile = Name + ".host.json";
    const host_settings Settings =
        parseHostSettings(readExample(SettingsFile), SettingsFile);
    CHECK(Settings.Zone == Snapshot.zones().front().Name);
  }
}
