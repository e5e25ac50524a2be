#include "LibConfiguration/intent_text.h"
#include "LibCore/result_code.h"
#include "LibHTTP/http_client.h"
#include "LibLog/log.h"
#include "LibPlatform/http_platform.h"
#include "LibRuntime/fiber_runtime.h"
#include "platform/platform_ports.h"
#include "spindlectl/commands.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include <openssl/rand.h>
#include <popt.h>

using namespace spindle;

namespace {

/// The options of the command line.
struct command_line {
  std::vector<endpoint> Platform;
  std::string Namespace = "default";
  std::string File;
  std::string Operator;
  bool Json = false;
  bool Yes = false;
  milliseconds WaitLimit{30'000};
  std::vector<std::string> Words;
};

std::string takeText(char *Text) {
  const std::unique_ptr<char, decltype(&std::free)> Owned(Text, &std::free);
  return Text == nullptr ? std::string() : std::string(Text);
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw spindle_error(result_code::InvalidIntent, Path + " can't be read");
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  File.close();
  if (!File)
    throw spindle_error(result_code::InvalidIntent, Path + " can't be written");
}

std::string randomHex(std::size_t Bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::vector<unsigned char> Raw(Bytes);
  if (RAND_bytes(Raw.data(), static_cast<int>(Bytes)) != 1)
    throw spindle_error(result_code::Internal, "no random bytes");
  std::string Text;
  for (const unsigned char Byte : Raw) {
    Text.push_back(Digits[Byte >> 4]);
    Text.push_back(Digits[Byte & 0xf]);
  }
  return Text;
}

bool askOperator(const std::string &Question) {
  std::cerr << Question << " [y/N] " << std::flush;
  std::string Answer;
  std::getline(std::cin, Answer);
  return Answer == "y" || Answer == "yes";
}

std::vector<endpoint> parseServers(const std::string &Text) {
  std::vector<endpoint> Servers;
  std::stringstream List(Text);
  for (std::string Server; std::getline(List, Server, ',');)
    Servers.push_back(parseEndpoint(Server));
  if (Servers.empty())
    throw spindle_error(result_code::BadRequest,
                        "--platform ADDRESS:PORT[,...] is missing");
  return Servers;
}

/// The values that popt sets.
struct popt_values {
  char *Platform = nullptr;
  char *Namespace = nullptr;
  char *Output = nullptr;
  char *KeyFile = nullptr;
  char *Against = nullptr;
  char *Operator = nullptr;
  int Json = 0;
  int Yes = 0;
  int Reference = 0;
  int Version = 0;
  int Wait = 30;
};

using popt_context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

popt_context readOptions(int Count, const char **Arguments,
                         popt_values &Values) {
  static poptOption Options[] = {
      {"platform", 'p', POPT_ARG_STRING, &Values.Platform, 0,
       "the platform's API servers", "ADDRESS:PORT[,...]"},
      {"namespace", 0, POPT_ARG_STRING, &Values.Namespace, 0,
       "the namespace of the system's objects", "NAME"},
      {"output", 'o', POPT_ARG_STRING, &Values.Output, 0, "where plan writes",
       "PLAN"},
      {"key-file", 0, POPT_ARG_STRING, &Values.KeyFile, 0,
       "the key that keys grant takes", "FILE"},
      {"against", 0, POPT_ARG_STRING, &Values.Against, 0,
       "the configuration that check compares with", "FILE"},
      {"operator", 0, POPT_ARG_STRING, &Values.Operator, 0,
       "the name in the audit trail", "NAME"},
      {"wait", 'w', POPT_ARG_INT, &Values.Wait, 0,
       "how long to wait for the hosts, 30 by default", "SECONDS"},
      {"json", 'j', POPT_ARG_NONE, &Values.Json, 0, "write JSON", nullptr},
      {"yes", 'y', POPT_ARG_NONE, &Values.Yes, 0, "don't ask", nullptr},
      {"intent-reference", 0, POPT_ARG_NONE, &Values.Reference, 0,
       "print the table of an intent's fields and exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &Values.Version, 0, "show the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  popt_context Context(
      poptGetContext("spindlectl", Count, Arguments, Options, 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(Context.get(), "COMMAND [ARGUMENT...]");
  const int Result = poptGetNextOpt(Context.get());
  if (Result < -1)
    throw spindle_error(result_code::BadRequest,
                        std::string(poptBadOption(Context.get(), 0)) + ": " +
                            poptStrerror(Result));
  return Context;
}

std::string defaultOperator() {
  const char *User = std::getenv("USER");
  return User == nullptr ? "unknown" : User;
}

/// Prints what needs no platform; returns whether an option requests it.
bool printOnly(const popt_values &Values) {
  if (Values.Version != 0)
    std::cout << "spindlectl " << SPINDLE_VERSION << "\n";
  else if (Values.Reference != 0)
    std::cout << printIntentReference();
  return Values.Version != 0 || Values.Reference != 0;
}

bool needsPlatform(const std::vector<std::string> &Words) {
  return Words.empty() || Words.front() != "check";
}

command_line parseCommandLine(const popt_context &Context,
                              const popt_values &Values) {
  command_line Line;
  while (const char *Word = poptGetArg(Context.get()))
    Line.Words.emplace_back(Word);
  const std::string Servers = takeText(Values.Platform);
  if (needsPlatform(Line.Words) || !Servers.empty())
    Line.Platform = parseServers(Servers);
  if (Values.Namespace != nullptr)
    Line.Namespace = takeText(Values.Namespace);
  const std::string PlanFile = takeText(Values.Output);
  Line.File = takeText(Values.KeyFile);
  Line.File = Line.File.empty() ? PlanFile : Line.File;
  const std::string Against = takeText(Values.Against);
  if (!needsPlatform(Line.Words))
    Line.File = Against;
  Line.Operator = takeText(Values.Operator);
  if (Line.Operator.empty())
    Line.Operator = defaultOperator();
  Line.Json = Values.Json != 0;
  Line.Yes = Values.Yes != 0;
  Line.WaitLimit = seconds(Values.Wait);
  return Line;
}

/// Reads the configuration of the forwarding interface from its store.
std::string readStored(http_client &Client, const endpoint &Store) {
  static constexpr milliseconds CallTimeout{2'000};
  const gateway_ports Ports = makePlatformPorts(Client, Store, CallTimeout);
  const std::optional<platform_object> Object = Ports.Platform.Get(
      Ports.Codec.ConfigurationKind, Ports.Codec.ConfigurationName);
  if (!Object)
    throw spindle_error(result_code::PlatformNotFound,
                        "the store has no configuration");
  return Object->Body;
}

exit_code run(const command_line &Line) {
  const runtime_clock Clock;
  fiber_runtime Runtime(1);
  http_client Client;
  http_platform_settings Platform;
  Platform.Servers = Line.Platform;
  Platform.Namespace = Line.Namespace;
  operator_context Context{Clock, platform_port{}, std::cout, std::cerr};
  if (needsPlatform(Line.Words))
    Context.Platform = makeHttpPlatform(Client, Platform);
  else if (!Line.Platform.empty())
    Context.ReadInForce = [&Client, &Line] {
      return readStored(Client, Line.Platform.front());
    };
  Context.Confirm =
      Line.Yes ? [](const std::string &) { return true; } : askOperator;
  Context.Sleep = [](milliseconds Pause) { sleepFor(Pause); };
  Context.ReadFile = readFile;
  Context.WriteFile = writeFile;
  Context.RandomHex = randomHex;
  Context.Operator = Line.Operator;
  Context.Json = Line.Json;
  Context.WaitLimit = Line.WaitLimit;
  exit_code Code = exit_code::Refused;
  Runtime.runBlocking(
      [&] { Code = runCommand(Context, Line.Words, Line.File); });
  return Code;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    startLogging({log_severity::Error, false});
    popt_values Values;
    const popt_context Context =
        readOptions(Count, const_cast<const char **>(Arguments), Values);
    if (printOnly(Values))
      return static_cast<int>(exit_code::Done);
    return static_cast<int>(run(parseCommandLine(Context, Values)));
  } catch (const std::exception &Error) {
    std::cerr << "spindlectl: " << Error.what() << "\n";
    return static_cast<int>(exit_code::BadInput);
  }
}
