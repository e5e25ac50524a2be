#include "LibHost/part_fetcher.h"

#include "LibConfiguration/configuration_codec.h"
#include "LibCore/result_code.h"
#include "LibLog/log.h"

namespace spindle {

/// Returns nullopt if the part does not match its digest.
static std::optional<std::string> ifIntact(const std::string &Digest,
                                           std::string Text) {
  try {
    checkPart(Digest, Text);
    return Text;
  } catch (const spindle_error &Error) {
    logEvent(log_event::ConfigurationRefused, {{"reason", Error.what()}});
    return std::nullopt;
  }
}

std::optional<std::string>
part_fetcher::fetchFromPeer(const std::string &Digest,
                            const endpoint &Peer) const {
  try {
    host_link::FetchPartRequest Request;
    *Request.mutable_sender() = Self;
    Request.set_digest(Digest);
    const host_link::FetchPartReply Reply =
        HostLink.FetchPart(Peer, Request, PeerCallTimeout);
    if (!Reply.found())
      return std::nullopt;
    return ifIntact(Digest, Reply.content());
  } catch (const spindle_error &) {
    return std::nullopt;
  }
}

std::optional<std::string>
part_fetcher::fetchFromPlatform(const std::string &Digest) const {
  try {
    const std::optional<platform_object> Object =
        Platform.Get(platform_kind::ConfigurationParts, Digest);
    if (!Object)
      return std::nullopt;
    return ifIntact(Digest, readPartBody(Object->Body));
  } catch (const spindle_error &) {
    return std::nullopt;
  }
}

} // namespace spindle
