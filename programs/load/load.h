#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Open-loop load on entry daemons.

namespace bluebell::load {

struct Options
{
    std::vector<Endpoint> entries;
    /// Caller keys; requests take them in turn.
    std::vector<std::string> keys;
    std::string model = "cartridge-";
    /// Models numbered from 1, chosen with a skew towards the first; 0 asks for `model` alone.
    std::int64_t models = 0;
    std::int64_t requestsPerSecond = 10;
    std::int64_t tokens = 32;
    Duration length = std::chrono::seconds(10);
    std::uint64_t seed = 1;
    /// The rate and burst that each key's organisation is granted, to tell wrongful refusals; 0 for
    /// none.
    std::int64_t grantedRate = 0;
    std::int64_t grantedBurst = 0;
};

struct Quantiles
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

struct Report
{
    std::uint64_t sent = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    std::uint64_t tokens = 0;
    double seconds = 0;
    Quantiles firstToken;
    Quantiles tokenGap;
    /// First tokens of the first request for each model.
    Quantiles coldStart;
    /// Refused for the rate although one exact bucket would have admitted the request.
    std::uint64_t wrongfullyRefused = 0;
    /// The organisation with the longest p99 to the first token, as a number into the keys.
    std::size_t worstKey = 0;
    Quantiles worstFirstToken;
    std::uint64_t worstRefused = 0;
};

/// Sends requests at fixed times, whatever becomes of the earlier ones.
boost::asio::awaitable<Report> run(Options options);

/// \returns the report as a table
[[nodiscard]] std::string toText(const Report &report);
/// \returns the report as JSON
[[nodiscard]] std::string toJson(const Report &report);

} // namespace bluebell::load
