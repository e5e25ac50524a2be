#include "LibSettings/host_settings.h"

#include "LibSettings/field_table.h"

namespace spindle {

static const field_table<listen_settings> &listenFields() {
  static const field_table<listen_settings> Table = {
      endpointField<listen_settings>(
          "callers", &listen_settings::Callers,
          "Where callers connect (HTTP), and the balancer's probes.", true),
      endpointField<listen_settings>(
          "hostLink", &listen_settings::HostLink,
          "Where other hosts connect (gRPC); they use this address.", true),
      endpointField<listen_settings>(
          "metrics", &listen_settings::Metrics,
          "Where metrics are read (HTTP, Prometheus text).", true),
      endpointField<listen_settings>(
          "ready", &listen_settings::Ready,
          "Where the balancer requests the host's readiness; for the "
          "forwarding interface.",
          false),
  };
  return Table;
}

template <typename record>
static field<record> endpointListField(std::string Name,
                                       std::vector<endpoint> record::*Member,
                                       std::string Meaning, bool Required) {
  const auto Read = [Required](const nlohmann::json &Value) {
    if (!Value.is_array() || (Required && Value.empty()))
      throw field_error("must be a list of addresses");
    std::vector<endpoint> Endpoints;
    for (const nlohmann::json &Element : Value)
      Endpoints.push_back(readEndpoint(Element));
    return Endpoints;
  };
  const auto Write = [](const std::vector<endpoint> &Endpoints) {
    std::vector<std::string> Texts;
    Texts.reserve(Endpoints.size());
    for (const endpoint &Endpoint : Endpoints)
      Texts.push_back(toText(Endpoint));
    return Texts;
  };
  return makeField<record>({std::move(Name), "list of addresses", "", "IP:PORT",
                            std::move(Meaning), Required},
                           Member, Read, Write);
}

static const field_table<platform_settings> &platformFields() {
  static const field_table<platform_settings> Table = {
      endpointListField<platform_settings>(
          "servers", &platform_settings::Servers,
          "The platform's API servers, tried in turn.", true),
      nameField<platform_settings>("namespace", &platform_settings::Namespace,
                                   "The namespace of the system's objects.",
                                   false),
      durationField<platform_settings>(
          "callTimeoutMs", &platform_settings::CallTimeout, 50, 60'000,
          "How long a call to the platform may take."),
  };
  return Table;
}

static const field_table<log_settings> &logFields() {
  static const field_table<log_settings> Table = {
      choiceField<log_settings>("least", &log_settings::Least,
                                {{"debug", log_severity::Debug},
                                 {"info", log_severity::Info},
                                 {"warning", log_severity::Warning},
                                 {"error", log_severity::Error}},
                                "The least severity that is written."),
      flagField<log_settings>("json", &log_settings::AsJson,
                              "One JSON object a line rather than text."),
  };
  return Table;
}

static const field_table<lease_settings> &leaseFields() {
  static const field_table<lease_settings> Table = {
      durationField<lease_settings>(
          "durationMs", &lease_settings::Duration, 1'000, 600'000,
          "How long a host acts on a lease after its last renewal."),
      durationField<lease_settings>("renewMs", &lease_settings::RenewInterval,
                                    100, 300'000, "Time between renewals."),
      durationField<lease_settings>(
          "marginMs", &lease_settings::Margin, 100, 60'000,
          "How much longer others wait before they treat a lease as lapsed."),
      durationField<lease_settings>(
          "shareMs", &lease_settings::ShareDuration, 10'000, 86'400'000,
          "How long a host that can't reach the platform uses its share of "
          "the customers' rates."),
  };
  return Table;
}

static const field_table<timeout_settings> &timeoutFields() {
  using record = timeout_settings;
  static const field_table<record> Table = {
      durationField<record>("drainMs", &record::Drain, 0, 86'400'000,
                            "How long a planned stop waits for requests."),
      durationField<record>(
          "drainDelayMs", &record::DrainDelay, 0, 600'000,
          "How long new connections are taken after a drain began, so that "
          "the balancer stops sending them first."),
      durationField<record>(
          "admissionWaitMs", &record::AdmissionWait, 0, 60'000,
          "How long a request waits for tokens from other hosts."),
      durationField<record>("headerMs", &record::Header, 100, 600'000,
                            "How long a request's header may take."),
      durationField<record>("idleConnectionMs", &record::IdleConnection, 100,
                            3'600'000,
                            "How long an unused connection is kept."),
      durationField<record>(
          "callerStallMs", &record::CallerStall, 100, 600'000,
          "How long a caller may read or write nothing before its request "
          "ends."),
      durationField<record>("connectMs", &record::Connect, 10, 60'000,
                            "How long a connection may take to open."),
      durationField<record>("peerCallMs", &record::PeerCall, 10, 60'000,
                            "How long a call to another host may take."),
      durationField<record>(
          "configurationPollMs", &record::ConfigurationPoll, 100, 60'000,
          "Time between checks for a new configuration; it grows with the "
          "fleet."),
  };
  return Table;
}

static const field_table<limit_settings> &limitFields() {
  using record = limit_settings;
  static const field_table<record> Table = {
      integerField<record>("headerBytes", &record::HeaderBytes, "bytes", 1'024,
                           1'048'576, "The largest request header."),
      integerField<record>("connections", &record::Connections, "", 1,
                           1'000'000, "Callers connected at a time."),
      integerField<record>("idleConnectionsPerUpstream",
                           &record::IdleConnectionsPerUpstream, "", 0, 10'000,
                           "Unused connections kept to one upstream."),
  };
  return Table;
}

static const field_table<repeat_settings> &repeatFields() {
  using record = repeat_settings;
  static const field_table<record> Table = {
      integerField<record>("percent", &record::Percent, "%", 0, 100,
                           "Repeats earned by each hundred requests."),
      numberField<record>("extra", &record::Extra, "", 0, 1'000'000,
                          "Repeats beside those earned, of all hosts in a "
                          "window."),
      numberField<record>("windowS", &record::WindowSeconds, "s", 0.001, 3'600,
                          "The window."),
  };
  return Table;
}

static const field_table<reaction_settings> &reactionFields() {
  using record = reaction_settings;
  static const field_table<record> Table = {
      fractionalDurationField<record>(
          "configurationMs", &record::Configuration, 1, 600'000,
          "The time limit for a new configuration."),
      fractionalDurationField<record>(
          "upstreamMs", &record::Upstream, 1, 600'000,
          "The time limit for an upstream that drains or is gone."),
      fractionalDurationField<record>(
          "evacuationMs", &record::Evacuation, 0, 600'000,
          "The time limit for the evacuation of a zone; 0 if zones are never "
          "evacuated."),
  };
  return Table;
}

static const field_table<routing_settings> &routingFields() {
  using record = routing_settings;
  static const field_table<record> Table = {
      integerField<record>(
          "placementMinEngines", &record::PlacementMinEngines, "", 0, 100'000,
          "The leader of a zone places requests by their work where the zone "
          "has at least so many engines of the service; 0 turns it off."),
  };
  return Table;
}

static const field_table<host_settings> &hostFields() {
  using record = host_settings;
  static const field_table<record> Table = {
      nameField<record>("name", &record::Name,
                        "The host's name in the platform's list of machines."),
      nameField<record>("zone", &record::Zone,
                        "The availability zone, as named in the intent."),
      choiceField<record>("interface", &record::Interface,
                          {{"openai", host_interface::OpenAi},
                           {"forwarding", host_interface::Forwarding}},
                          "The protocol of callers and upstreams."),
      integerField<record>("threads", &record::Threads, "", 1, 256,
                           "Threads that serve requests."),
      endpointListField<record>(
          "seeds", &record::Seeds,
          "hostLink addresses of other hosts, called while the platform can't "
          "report which hosts there are.",
          false),
      sectionField<record>("listen", &record::Listen, listenFields(),
                           "Where the host listens; port 0 lets the kernel "
                           "choose.",
                           true),
      sectionField<record>("platform", &record::Platform, platformFields(),
                           "The platform's object API.", true),
      sectionField<record>("log", &record::Log, logFields(), "Log output."),
      sectionField<record>("lease", &record::Lease, leaseFields(),
                           "Leases; the same on every host."),
      sectionField<record>("timeouts", &record::Timeouts, timeoutFields(),
                           "How long things may take."),
      sectionField<record>("limits", &record::Limits, limitFields(),
                           "How large things may get."),
      sectionField<record>("repeats", &record::Repeats, repeatFields(),
                           "How often requests are sent once more; for the "
                           "forwarding interface."),
      sectionField<record>("reaction", &record::Reaction, reactionFields(),
                           "How soon a change at the platform takes effect; "
                           "for the forwarding interface."),
      sectionField<record>("routing", &record::Routing, routingFields(),
                           "How the engine for a request is chosen; for the "
                           "forwarding interface."),
  };
  return Table;
}

static void checkLease(const lease_settings &Lease,
                       std::vector<input_problem> &Problems) {
  if (Lease.RenewInterval * 2 > Lease.Duration)
    Problems.push_back({"lease.renewMs",
                        "must be at most half of lease.durationMs, so that "
                        "one lost renewal does not end the lease"});
  if (Lease.ShareDuration < Lease.Duration)
    Problems.push_back(
        {"lease.shareMs", "must not be less than lease.durationMs"});
}

host_settings parseHostSettings(std::string_view Text,
                                std::string_view FileName) {
  return readSettingsFile(
      Text, FileName, hostFields(),
      [](const host_settings &Settings, std::vector<input_problem> &Problems) {
        checkLease(Settings.Lease, Problems);
      });
}

std::string fieldsThatNeedRestart(const host_settings &Current,
                                  const host_settings &Next) {
  std::string Names;
  for (const field<host_settings> &Field : hostFields()) {
    const std::string &Name = Field.Description.Name;
    if (Name == "log" || Field.Write(Current) == Field.Write(Next))
      continue;
    Names += (Names.empty() ? "" : " ") + Name;
  }
  return Names;
}

std::string printSettingsReference() {
  std::vector<std::pair<field_description, std::string>> Lines;
  describeTable(hostFields(), "", Lines);
  return writeReference(Lines);
}

} // namespace spindle
