#include "EndToEnd/child_process.h"

#include <csignal>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace spindle {

child_process::child_process(const std::string &Program,
                             const std::vector<std::string> &Arguments) {
  const std::string Path = SPINDLE_BINARY_DIRECTORY "/" + Program;
  std::vector<char *> Words;
  Words.push_back(const_cast<char *>(Path.c_str()));
  for (const std::string &Argument : Arguments)
    Words.push_back(const_cast<char *>(Argument.c_str()));
  Words.push_back(nullptr);
  int Pipe[2] = {-1, -1};
  if (::pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe");
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
  const int Failure = ::posix_spawn(&Process, Path.c_str(), &Actions, nullptr,
                                    Words.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  ::close(Pipe[1]);
  Output = Pipe[0];
  if (Failure != 0)
    throw std::runtime_error("can't start " + Path);
}

child_process::~child_process() {
  if (!Ended) {
    signal(SIGKILL);
    wait();
  }
  ::close(Output);
}

std::string child_process::readLine() {
  std::string Line;
  char Character = 0;
  while (::read(Output, &Character, 1) == 1 && Character != '\n')
    Line.push_back(Character);
  return Line;
}

std::string child_process::readLineWith(std::string_view Text) {
  std::string Line = readLine();
  while (!Line.empty() && Line.find(Text) == std::string::npos)
    Line = readLine();
  return Line;
}

std::vector<endpoint> child_process::readAddresses() {
  // Log lines may come before.
  std::string Line = readLine();
  std::string Last;
  while (!Line.empty() && !Line.starts_with("listening ")) {
    Last = Line;
    Line = readLine();
  }
  if (Line.empty())
    throw std::runtime_error("the program does not listen: " + Last);
  std::istringstream Words(Line);
  std::string Word;
  Words >> Word;
  std::vector<endpoint> Addresses;
  while (Words >> Word)
    Addresses.push_back(parseEndpoint(Word));
  return Addresses;
}

std::string child_process::readAll() {
  std::string Text;
  char Space[4096];
  ssize_t Count = 0;
  while ((Count = ::read(Output, Space, sizeof Space)) > 0)
    Text.append(Space, static_cast<std::size_t>(Count));
  return Text;
}

void child_process::signal(int Number) const { ::kill(Process, Number); }

int child_process::wait() {
  if (Ended)
    return ExitCode;
  int Status = 0;
  ::waitpid(Process, &Status, 0);
  Ended = true;
  ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  return ExitCode;
}

program_result runProgram(const std::string &Program,
                          const std::vector<std::string> &Arguments) {
  child_process Process(Program, Arguments);
  program_result Result;
  Result.Output = Process.readAll();
  Result.ExitCode = Process.wait();
  return Result;
}

} // namespace spindle
