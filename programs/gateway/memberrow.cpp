#include "gateway/memberrow.h"

#include <nlohmann/json.hpp>

namespace bluebell::gateway {

using nlohmann::json;

std::string encodeMember(const FleetMember &member)
{
    return json {
        { "incarnation", member.incarnation.value() },
        { "data_centre", member.dataCentre.value() },
        { "callers", toString(member.callers) },
        { "peers", toString(member.peers) },
        { "control", toString(member.control) },
        { "relay", toString(member.relay) },
        { "capacity", member.capacity }
    }.dump();
}

std::optional<FleetMember> decodeMember(const platform::StoreRow &row)
{
    if (row.isDeleted)
        return std::nullopt;
    const auto object = json::parse(row.value, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const auto stringField = [&](const char *name) {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    const auto callers = parseEndpoint(stringField("callers"));
    const auto peers = parseEndpoint(stringField("peers"));
    const auto control = parseEndpoint(stringField("control"));
    if (!callers || !peers || !control)
        return std::nullopt;
    FleetMember it { VmId(row.key),
                     IncarnationId(stringField("incarnation")),
                     DataCentreId(stringField("data_centre")),
                     callers.value(),
                     peers.value(),
                     control.value() };
    if (const auto relay = parseEndpoint(stringField("relay")))
        it.relay = relay.value();
    if (const auto capacity = object.find("capacity");
        capacity != object.end() && capacity->is_number_unsigned())
        it.capacity = capacity->get<std::uint32_t>();
    return it;
}

} // namespace bluebell::gateway
