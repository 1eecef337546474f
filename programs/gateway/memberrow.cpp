#include "gateway/memberrow.h"

#include "platform/fields.h"

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
    const auto text = [&](const char *name) {
        return platform::stringField(object, name).value_or(std::string());
    };
    const auto callers = parseEndpoint(text("callers"));
    const auto peers = parseEndpoint(text("peers"));
    const auto control = parseEndpoint(text("control"));
    for (const auto *it : { &callers, &peers, &control })
        if (!*it || it->value().port == 0)
            return std::nullopt;
    const auto capacity = platform::unsignedField(object, "capacity");
    if (object.contains("capacity") && (!capacity || *capacity > platform::MaxCount))
        return std::nullopt;
    FleetMember it { VmId(row.key),
                     IncarnationId(text("incarnation")),
                     DataCentreId(text("data_centre")),
                     callers.value(),
                     peers.value(),
                     control.value() };
    if (const auto relay = parseEndpoint(text("relay")))
        it.relay = relay.value();
    it.capacity = static_cast<std::uint32_t>(capacity.value_or(0));
    return it;
}

} // namespace bluebell::gateway
