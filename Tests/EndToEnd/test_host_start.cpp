#include "EndToEnd/child_process.h"
#include "EndToEnd/occupied_port.h"
#include "EndToEnd/temporary_folder.h"

#include <csignal>
#include <fstream>
#include <memory>
#include <optional>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace spindle;
using json = nlohmann::json;

namespace {

constexpr int ExitCannotStart = 2;

/// Starts a host without a platform; \p Field of its addresses is \p Address.
std::unique_ptr<child_process> startHost(const temporary_folder &Folder,
                                         const std::string &Field,
                                         const std::string &Address) {
  json Settings;
  Settings["name"] = "host-" + Field;
  Settings["zone"] = "a";
  Settings["interface"] = "forwarding";
  Settings["threads"] = 1;
  for (const char *const Listened : {"callers", "ready", "hostLink", "metrics"})
    Settings["listen"][Listened] = "127.0.0.1:0";
  Settings["listen"][Field] = Address;
  Settings["platform"] = {{"servers", {"127.0.0.1:9"}}, {"callTimeoutMs", 100}};
  Settings["log"] = {{"json", true}};
  Settings["timeouts"] = {{"drainMs", 1'000}, {"drainDelayMs", 100}};
  const std::string File = Folder.path() / (Field + ".json");
  std::ofstream(File) << Settings.dump(2);
  return std::make_unique<child_process>(
      "spindled", std::vector<std::string>{"--settings", File});
}

} // namespace

TEST_CASE("a host whose port stays in use ends with a damaged heap") {
  const temporary_folder Folder;
  const occupied_port Port;
  std::vector<std::unique_ptr<child_process>> Hosts;
  for (const char *const Field : {"callers", "ready", "hostLink", "metrics"})
    Hosts.push_back(startHost(Folder, Field, Port.address()));
  for (const std::unique_ptr<child_process> &Host : Hosts) {
    const std::string Log = Host->readAll();
    CHECK(Host->wait() == ExitCannotStart);
    const std::size_t Failure = Log.find("\"StartFailed\"");
    REQUIRE(Failure != std::string::npos);
    CHECK(Log.find(Port.address(), Failure) != std::string::npos);
  }
}

TEST_CASE("a host ends at its start while its port is in use for a moment") {
  const temporary_folder Folder;
  std::optional<occupied_port> Port;
  Port.emplace();
  const std::string Address = Port->address();
  const std::unique_ptr<child_process> Host =
      startHost(Folder, "callers", Address);
  REQUIRE(Host->readLineWith("AddressInUse").find(Address) !=
          std::string::npos);
  Port.reset();
  REQUIRE(toText(Host->readAddresses().at(0)) == Address);
  Host->signal(SIGTERM);
  REQUIRE(Host->wait() == 0);
}

TEST_CASE("a host that waits for its port does not stop") {
  const temporary_folder Folder;
  const occupied_port Port;
  const std::unique_ptr<child_process> Host =
      startHost(Folder, "hostLink", Port.address());
  REQUIRE_FALSE(Host->readLineWith("AddressInUse").empty());
  Host->signal(SIGTERM);
  REQUIRE(Host->wait() == 0);
}
