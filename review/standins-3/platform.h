#ifndef REVIEW_STANDINS_3_PLATFORM_H
#define REVIEW_STANDINS_3_PLATFORM_H

#include "wire.h"

#include <condition_variable>
#include <deque>
#include <fstream>
#include <map>

#include <nlohmann/json.hpp>

#include <sys/types.h>

namespace review {

using nlohmann::json;

/// The notes of a case, in record.txt and on the terminal. Thread-safe.
class case_record {
public:
  explicit case_record(const std::string &File);
  void note(const std::string &Text);
  double seconds() const;

private:
  std::mutex Mutex;
  std::ofstream File;
  const steady::time_point Start = steady::now();
};

/// The platform's store as PROTOCOL.md describes it: objects by kind and name,
/// one revision counter, conditional writes, watches. Registrations of engines
/// that beat no more are removed after three heartbeats, but not while the
/// store is down. Thread-safe.
class object_store {
public:
  explicit object_store(case_record &Record);
  ~object_store();
  std::string address() const { return Server.address(); }
  /// Writes as the operator or an engine does. Returns false while the store
  /// is down.
  bool put(const std::string &Kind, const std::string &Name, const json &Spec);
  /// As put(), for the registration of an engine, which expires.
  bool beat(const std::string &Name, const json &Spec);
  void erase(const std::string &Kind, const std::string &Name);
  /// While down, the store answers all calls with 503, and nobody can write.
  void setDown(bool IsDown);

private:
  struct change {
    std::uint64_t Revision = 0;
    bool Deleted = false;
    std::string Kind;
    json Object;
  };
  using key = std::pair<std::string, std::string>;

  bool serve(stream_socket &Socket, http_message &Request);
  std::pair<int, json> call(const http_message &Request);
  std::pair<int, json> listOrWatch(const std::string &Kind,
                                   const std::string &Query);
  std::pair<int, json> write(const std::string &Method, const key &Key,
                             const json &Body, const std::string &Query);
  json store(const key &Key, const json &Spec);
  void remove(const key &Key);
  void expire();

  case_record &Record;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 10;
  std::map<key, json> Objects;
  std::map<std::string, steady::time_point> Beats;
  std::deque<change> History;
  bool Down = false;
  std::atomic<bool> Stopping{false};
  std::thread Expiry;
  tcp_server Server;
};

/// The daemon of one machine, with the settings that the platform makes from
/// the project's template. Used by one thread.
class daemon_process {
public:
  daemon_process(std::string Name, std::string Zone, const object_store &Store);
  ~daemon_process();
  void start();
  /// Waits until it answers 200 at /readiness, 10 s at most.
  bool waitUntilReady() const;
  void signal(int Signal) const;
  /// Whether the process has ended; collects it if so.
  bool hasEnded();
  /// Resident memory now, and at its highest, in MB; 0 if it has ended.
  double residentMegabytes() const;
  double peakMegabytes() const;
  std::uint16_t callerPort() const { return Ports[0]; }
  const std::string &logFile() const { return Log; }

private:
  double statusMegabytes(std::string_view Field) const;
  std::string settings() const;

  const std::string Name;
  const std::string Zone;
  const std::string StoreAddress;
  std::vector<std::uint16_t> Ports;
  std::string Folder;
  std::string Log;
  pid_t Process = -1;
};

/// A caller's connection to a machine, kept over many requests.
class caller {
public:
  explicit caller(std::uint16_t Port) : Port(Port) {}

  struct outcome {
    /// 0 if the connection ended without a whole answer.
    int Status = 0;
    bool IsSealed = false;
    std::string Body;
    std::string RetryAfter;
  };
  /// Sends a request and waits for its answer.
  outcome send(const std::string &Request, milliseconds Timeout);

private:
  const std::uint16_t Port;
  stream_socket Socket;
};

/// An id that no other request has.
std::string drawRequestId();
/// Whether the environment says that the disruption is left out.
bool isCalm();
/// The folder of the case, from the command line.
std::string caseFolder(int Count, char **Words);

} // namespace review

#endif // REVIEW_STANDINS_3_PLATFORM_H
