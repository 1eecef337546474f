#pragma once

#include <compare>
#include <string>
#include <utility>

/// \file
/// Typed names of the things that the system addresses.

namespace bluebell {

/// A name that cannot be mixed up with the name of another kind of thing.
///
/// \tparam Tag an incomplete type that tells one kind from another
template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value) : m_value(std::move(value)) { }

    [[nodiscard]] const std::string &value() const noexcept { return m_value; }
    [[nodiscard]] bool isEmpty() const noexcept { return m_value.empty(); }

    friend auto operator<=>(const Id &, const Id &) = default;

private:
    std::string m_value;
};

using OrganisationId = Id<struct OrganisationTag>;
using ModelId = Id<struct ModelTag>;
using AdapterId = Id<struct AdapterTag>;
using TargetId = Id<struct TargetTag>;
using ServiceId = Id<struct ServiceTag>;
using VmId = Id<struct VmTag>;
using DataCentreId = Id<struct DataCentreTag>;
using ClassId = Id<struct ClassTag>;
/// One run of a process on a VM; a restart makes a new one.
using IncarnationId = Id<struct IncarnationTag>;
using RequestId = Id<struct RequestTag>;
using OrderKey = Id<struct OrderKeyTag>;
/// Identifies one transaction, so that a lost reply can be resolved by a read.
using ChangeId = Id<struct ChangeTag>;
using GrantId = Id<struct GrantTag>;
using RoleId = Id<struct RoleTag>;
/// Hexadecimal SHA-256 digest of a caller's key.
using KeyDigest = Id<struct KeyDigestTag>;

} // namespace bluebell
