#ifndef PARSLEYSPINDLE_TESTS_ENDTOEND_FLEET_H
#define PARSLEYSPINDLE_TESTS_ENDTOEND_FLEET_H

#include "EndToEnd/child_process.h"
#include "EndToEnd/temporary_folder.h"
#include "LibHTTP/http_client.h"
#include "LibRuntime/fiber_runtime.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace spindle {

/// How many programs a test starts.
struct fleet_size {
  std::size_t Hosts = 2;
  std::size_t Engines = 2;
  std::size_t Services = 1;
  std::vector<std::string> EngineOptions = {"--step-ms", "5"};
};

/// The real programs on loopback, with ports that the kernel chooses: stand-ins
/// for platform, engines and services, and hosts in zones "a", "b", "c" in
/// turn.
class fleet {
public:
  static constexpr const char *KeyOfAalst = "test-key-aalst-0123456789";
  static constexpr const char *KeyOfGhent = "test-key-ghent-0123456789";

  explicit fleet(const fleet_size &Size);
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  /// Applies an intent, which \p Change may have changed first, and waits
  /// until every host has it in force.
  void applyIntent(const std::function<void(nlohmann::json &)> &Change =
                       [](auto &) {});
  /// Writes an intent, which \p Change may have changed first, to the file
  /// \p Name. Returns the file's path.
  std::string writeIntent(const std::string &Name,
                          const std::function<void(nlohmann::json &)> &Change);
  /// The path of a file \p Name among the test's files.
  std::string filePath(const std::string &Name) const;
  /// Changes a machine's state in the platform's list.
  void setMachineState(const std::string &Name, const std::string &State);
  /// Starts host \p Index again, which was ended before.
  void startHost(std::size_t Index);
  void waitUntilReady(std::size_t Index);
  child_process &host(std::size_t Index) { return *Hosts.at(Index).Process; }
  endpoint hostAddress(std::size_t Index) const {
    return Hosts.at(Index).Addresses.at(0);
  }

  /// Calls host \p Index. \throws spindle_error.
  http_response call(std::size_t Index, const http_request_head &Request,
                     std::string_view Body = {},
                     const http_call_limits &Limits = {});
  /// Requests a completion by \p Model from host \p Index.
  http_response complete(std::size_t Index, const std::string &Model,
                         const std::string &Prompt, bool Stream = false);
  /// Reads or sets a stand-in's switches and records.
  nlohmann::json control(const endpoint &StandIn, const std::string &Path);
  void setControl(const endpoint &StandIn, const nlohmann::json &Switches);
  program_result spindlectl(std::vector<std::string> Arguments);
  /// Runs \p Work in a fiber of the test.
  void run(std::function<void()> Work) { Runtime.runBlocking(std::move(Work)); }
  fiber_runtime &runtime() { return Runtime; }
  http_client &client() { return Client; }

  endpoint Platform;
  std::vector<endpoint> Engines;
  std::vector<endpoint> Services;

private:
  struct running_host {
    std::unique_ptr<child_process> Process;
    std::vector<endpoint> Addresses;
  };

  std::unique_ptr<child_process> start(const std::string &Program,
                                       std::vector<std::string> Arguments,
                                       endpoint &Address);
  std::string writeFile(const std::string &Name, const std::string &Text) const;
  std::string hostName(std::size_t Index) const;
  std::string zoneOf(std::size_t Index) const;
  void addMachine(const std::string &Name, const std::string &Role,
                  const std::string &Zone);
  nlohmann::json makeIntent() const;

  // One thread, so that a call can be started in one run() and read in another.
  fiber_runtime Runtime{1};
  http_client Client;
  const temporary_folder Folder;
  std::vector<std::unique_ptr<child_process>> StandIns;
  std::vector<running_host> Hosts;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_ENDTOEND_FLEET_H
