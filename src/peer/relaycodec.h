#pragma once

#include "core/result.h"
#include "relay/digest.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// \file
/// Datagrams between daemons and relays: a header, and a status, digest or summary in Cap'n Proto.

namespace bluebell {

/// A daemon's report to a relay.
struct ReportDatagram
{
    std::uint64_t sequence = 0;
    /// Whether the recipient is the daemon's primary relay.
    bool isPrimary = false;
    DaemonStatus status;
};

/// A relay's digest for a daemon.
struct DigestDatagram
{
    /// Sequence of the daemon's last report that the digest's sums include; 0 if none.
    std::uint64_t countedReport = 0;
    FleetDigest digest;
};

/// A datagram of a version or kind that this build doesn't know.
struct UnknownDatagram
{
    std::uint8_t version = 0;
    std::uint8_t kind = 0;
};

using RelayDatagram = std::variant<ReportDatagram, DigestDatagram, GroupSummary, UnknownDatagram>;

/// \returns the body of a digest, which is the same for all recipients
[[nodiscard]] std::string encode(const FleetDigest &digest);
/// \returns the digest, or InvalidArgument
[[nodiscard]] Result<FleetDigest> decodeDigest(std::string_view body);

[[nodiscard]] std::string encode(const ReportDatagram &report);
[[nodiscard]] std::string encode(const GroupSummary &summary);
/// \param body as returned by encode()
[[nodiscard]] std::string digestDatagram(std::uint64_t countedReport, std::string_view body);

/// \returns the datagram's content, or InvalidArgument if it is malformed
[[nodiscard]] Result<RelayDatagram> decodeRelayDatagram(std::string_view bytes);

} // namespace bluebell
