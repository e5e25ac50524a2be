#include "LibGateway/sync_message.h"

#include <map>

namespace spindle {

void writeCustomerUsage(
    const customer_usage &Usage,
    google::protobuf::RepeatedPtrField<host_link::CustomerUse> &Messages) {
  for (const auto &[Customer, Units] : Usage) {
    host_link::CustomerUse &Message = *Messages.Add();
    Message.set_customer(Customer.Value);
    Message.set_tokens(Units);
  }
}

customer_usage readCustomerUsage(
    const google::protobuf::RepeatedPtrField<host_link::CustomerUse>
        &Messages) {
  customer_usage Usage;
  for (const host_link::CustomerUse &Message : Messages)
    Usage[customer_id{Message.customer()}] = Message.tokens();
  return Usage;
}

void writeSuspect(const suspect_record &Record, host_link::Suspect &Message) {
  Message.set_fingerprint(Record.Fingerprint.Value);
  Message.set_crashes(static_cast<std::uint32_t>(Record.Lost.size()));
  Message.set_remaining_ms(Record.Remaining.count());
  for (const upstream_id Upstream : Record.Lost)
    Message.add_upstreams(Upstream.Value);
}

suspect_record readSuspect(const host_link::Suspect &Message) {
  suspect_record Record;
  Record.Fingerprint = request_fingerprint{Message.fingerprint()};
  Record.Remaining = milliseconds(Message.remaining_ms());
  for (const std::uint64_t Upstream : Message.upstreams())
    Record.Lost.push_back(upstream_id{Upstream});
  return Record;
}

void writePartSuspect(const part_suspect_record &Record,
                      host_link::PartSuspect &Message) {
  Message.set_part(Record.Part.Value);
  Message.set_position(Record.Position);
  for (const part_suspect_record::crash &Crash : Record.Crashes) {
    host_link::PartCrash &Written = *Message.add_crashes();
    Written.set_start(Crash.Start.Value);
    Written.set_age_ms(Crash.Age.count());
    Written.set_cleared(Crash.Cleared);
  }
}

part_suspect_record readPartSuspect(const host_link::PartSuspect &Message) {
  part_suspect_record Record;
  Record.Part = part_id{Message.part()};
  Record.Position = Message.position();
  for (const host_link::PartCrash &Crash : Message.crashes())
    Record.Crashes.push_back({upstream_start_id{Crash.start()},
                              milliseconds(Crash.age_ms()), Crash.cleared()});
  return Record;
}

void writeAdapterUse(const adapter_use &Use, host_link::AdapterUse &Message) {
  Message.set_upstream(Use.Engine.Value);
  Message.set_model(Use.Adapter.Model);
  Message.set_adapter(Use.Adapter.Adapter);
}

adapter_use readAdapterUse(const host_link::AdapterUse &Message) {
  return {upstream_id{Message.upstream()},
          {Message.model(), Message.adapter()}};
}

void writeAvailableSlots(
    const std::vector<available_slots> &Slots,
    google::protobuf::RepeatedPtrField<host_link::EngineRoom> &Messages) {
  for (const available_slots &Room : Slots) {
    host_link::EngineRoom &Message = *Messages.Add();
    Message.set_upstream(Room.Engine.Value);
    Message.set_room(static_cast<std::uint32_t>(Room.Count));
  }
}

std::vector<host_link::UpstreamLoad>
sumLoads(std::span<const host_link::UpstreamLoad> Loads) {
  std::map<std::uint64_t, host_link::UpstreamLoad> Sums;
  for (const host_link::UpstreamLoad &Load : Loads) {
    host_link::UpstreamLoad &Sum = Sums[Load.upstream()];
    Sum.set_upstream(Load.upstream());
    Sum.set_requests(Sum.requests() + Load.requests());
    Sum.set_unread_tokens(Sum.unread_tokens() + Load.unread_tokens());
  }
  std::vector<host_link::UpstreamLoad> Result;
  Result.reserve(Sums.size());
  for (auto &[Upstream, Sum] : Sums)
    Result.push_back(std::move(Sum));
  return Result;
}

} // namespace spindle
