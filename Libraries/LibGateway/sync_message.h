#ifndef PARSLEYSPINDLE_LIBGATEWAY_SYNC_MESSAGE_H
#define PARSLEYSPINDLE_LIBGATEWAY_SYNC_MESSAGE_H

#include "LibGateway/customer_quota.h"
#include "LibGateway/fleet_table.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibResilience/crash_suspects.h"
#include "LibResilience/part_suspects.h"

#include <span>
#include <vector>

namespace spindle {

/// These functions convert parts of the messages that hosts exchange. All are
/// thread-safe.
void writeCustomerUsage(
    const customer_usage &Usage,
    google::protobuf::RepeatedPtrField<host_link::CustomerUse> &Messages);
customer_usage readCustomerUsage(
    const google::protobuf::RepeatedPtrField<host_link::CustomerUse> &Messages);
void writeSuspect(const suspect_record &Record, host_link::Suspect &Message);
suspect_record readSuspect(const host_link::Suspect &Message);
void writePartSuspect(const part_suspect_record &Record,
                      host_link::PartSuspect &Message);
part_suspect_record readPartSuspect(const host_link::PartSuspect &Message);
void writeAdapterUse(const adapter_use &Use, host_link::AdapterUse &Message);
adapter_use readAdapterUse(const host_link::AdapterUse &Message);
void writeAvailableSlots(
    const std::vector<available_slots> &Slots,
    google::protobuf::RepeatedPtrField<host_link::EngineRoom> &Messages);
/// Sums the loads of each upstream.
std::vector<host_link::UpstreamLoad>
sumLoads(std::span<const host_link::UpstreamLoad> Loads);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SYNC_MESSAGE_H
