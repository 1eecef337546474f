#include "membership/fleetmember.h"

#include "core/digest.h"

namespace bluebell {

std::uint64_t contentHash(const VmId &vm, const FleetMember &member)
{
    return stableHash(vm.value() + '|' + member.incarnation.value() + '|'
                      + member.dataCentre.value() + '|' + toString(member.callers) + '|'
                      + toString(member.peers) + '|' + toString(member.control) + '|'
                      + toString(member.relay) + '|' + std::to_string(member.capacity));
}

} // namespace bluebell
