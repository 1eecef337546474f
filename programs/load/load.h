#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Open-loop load generator for entry daemons.

namespace bluebell::load {

struct Options
{
    std::vector<Endpoint> entries;
    /// Caller keys, used by the requests in rotation.
    std::vector<std::string> keys;
    /// Model, or the prefix of numbered models.
    std::string model = "cartridge-";
    /// Number of models, numbered from 1 and chosen with a skew towards the first; 0 requests only
    /// `model`.
    std::int64_t models = 0;
    std::int64_t requestsPerSecond = 10;
    /// The `max_tokens` of each request.
    std::int64_t tokensPerRequest = 32;
    /// How long requests are sent.
    Duration duration = std::chrono::seconds(10);
    /// Seed of the choice of models.
    std::uint64_t seed = 1;
    /// Rate in tokens per second and burst in tokens of each key's organisation, used to detect
    /// wrongful refusals; a rate of 0 disables the detection.
    std::int64_t grantedRate = 0;
    std::int64_t grantedBurst = 0;
};

/// Quantiles in seconds.
struct Quantiles
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

struct Report
{
    std::uint64_t sent = 0;
    /// Streams that ended with their end marker.
    std::uint64_t completed = 0;
    /// Requests that got a response with a status other than 200.
    std::uint64_t refused = 0;
    /// Those of them whose status promises that the request was not executed, and whose body does
    /// not say so.
    std::uint64_t unfoundedPromises = 0;
    /// Requests without a response, and streams that broke off.
    std::uint64_t failed = 0;
    std::uint64_t tokens = 0;
    /// Duration of the run, up to the end of the last response.
    double seconds = 0;
    /// Time from the request to its first token.
    Quantiles firstToken;
    /// Time between two successive chunks of a stream that contain tokens.
    Quantiles tokenGap;
    /// Time to the first token for the first request of each model.
    Quantiles coldStart;
    /// Requests refused because of the rate although one exact token bucket would have admitted
    /// them.
    std::uint64_t wrongfullyRefused = 0;
    /// Index of the key whose organisation has the longest p99 time to the first token.
    std::size_t worstKey = 0;
    Quantiles worstFirstToken;
    std::uint64_t worstRefused = 0;
};

/// Sends requests at a constant rate, regardless of the progress of earlier ones.
boost::asio::awaitable<Report> run(Options options);

/// \returns the report as a text table
[[nodiscard]] std::string toText(const Report &report);
/// \returns the report as JSON
[[nodiscard]] std::string toJson(const Report &report);

} // namespace bluebell::load
