#ifndef PARSLEYSPINDLE_LIBGATEWAY_SYNC_MESSAGE_H
#define PARSLEYSPINDLE_LIBGATEWAY_SYNC_MESSAGE_H

#include "LibGateway/customer_quota.h"
#include "LibGateway/fleet_table.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibResilience/crash_suspects.h"

#include <span>
#include <vector>

namespace spindle {

/// Writes and reads the parts of the messages that hosts exchange. All are
/// thread-safe.
void writeUses(
    const customer_usage &Uses,
    google::protobuf::RepeatedPtrField<host_link::CustomerUse> &Messages);
customer_usage readUses(
    const google::protobuf::RepeatedPtrField<host_link::CustomerUse> &Messages);
void writeSuspect(const suspect_record &Record, host_link::Suspect &Message);
suspect_record readSuspect(const host_link::Suspect &Message);
void writeAdapterUse(const adapter_use &Use, host_link::AdapterUse &Message);
adapter_use readAdapterUse(const host_link::AdapterUse &Message);
void writeRooms(
    const std::vector<available_slots> &Rooms,
    google::protobuf::RepeatedPtrField<host_link::EngineRoom> &Messages);
/// Adds up the loads of each upstream.
std::vector<host_link::UpstreamLoad>
sumLoads(std::span<const host_link::UpstreamLoad> Loads);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SYNC_MESSAGE_H
