#pragma once

#include "membership/daemonstatus.h"
#include "peer/generated/status.capnp.h"

#include <cstdint>
#include <string>

/// \file
/// Parts of the status message that other messages contain, too.

namespace bluebell::detail {

[[nodiscard]] std::string text(capnp::Text::Reader in);
/// \returns whole milliseconds, limited to the range of the field
[[nodiscard]] std::uint32_t toWire(Duration d);
/// \returns the duration, limited to a year, since a damaged message may contain any number
[[nodiscard]] Duration fromWire(std::uint64_t ms);
void writeStatus(const DaemonStatus &status, wire::Status::Builder out);
/// Throws kj::Exception if the message is malformed.
[[nodiscard]] DaemonStatus readStatus(wire::Status::Reader in);
void writeQuarantine(const QuarantineUpdate &update, wire::Quarantine::Builder out);
[[nodiscard]] QuarantineUpdate readQuarantine(wire::Quarantine::Reader in);
void writeEvacuations(const EvacuationUpdate &update, wire::Evacuations::Builder out);
[[nodiscard]] EvacuationUpdate readEvacuations(wire::Evacuations::Reader in);
void writeResidents(const ResidentReplicas &residents,
                    capnp::List<wire::StatusResident>::Builder out);
[[nodiscard]] ResidentReplicas readResidents(capnp::List<wire::StatusResident>::Reader in);

} // namespace bluebell::detail
