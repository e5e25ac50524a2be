#include "LibHost/snapshot_builder.h"

#include "LibConfiguration/configuration_codec.h"
#include "LibRuntime/completion.h"

#include <exception>
#include <thread>

namespace spindle {

namespace {

struct build_result {
  snapshot_pointer Snapshot;
  std::exception_ptr Error;
};

} // namespace

static build_result build(std::uint64_t Version, const std::string &Index,
                          const std::map<std::string, std::string> &Parts) {
  try {
    const part_source Source = [&Parts](const std::string &Digest) {
      return Parts.at(Digest);
    };
    return {std::make_shared<const configuration_snapshot>(
                Version, decodeIntent(Index, Source)),
            nullptr};
  } catch (...) {
    return {nullptr, std::current_exception()};
  }
}

snapshot_pointer
buildOnThread(std::uint64_t Version, const std::string &Index,
              const std::map<std::string, std::string> &Parts) {
  completion<build_result> Completion;
  std::thread Builder([&, Deliver = Completion.deliverer()] {
    Deliver(build(Version, Index, Parts));
  });
  build_result Result = Completion.wait();
  Builder.join();
  if (Result.Error)
    std::rethrow_exception(Result.Error);
  return Result.Snapshot;
}

} // namespace spindle
