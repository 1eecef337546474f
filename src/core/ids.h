#pragma once

#include <compare>
#include <string>
#include <utility>

/// \file
/// Strongly typed identifiers.

namespace bluebell {

/// A string identifier; identifiers of different kinds do not convert into each other.
///
/// \tparam Tag an incomplete type that distinguishes the kinds
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
/// Identifies one run of a process on a VM; each restart gets a new one.
using IncarnationId = Id<struct IncarnationTag>;
using RequestId = Id<struct RequestTag>;
/// Idempotency key of a call, as chosen by the caller.
using IdempotencyKey = Id<struct IdempotencyKeyTag>;
/// Identifies one transaction. It is stored with the rows written, so that after a lost reply a
/// read shows whether the transaction was committed.
using ChangeId = Id<struct ChangeTag>;
/// Identifies a part of a prompt; equal parts of different prompts have the same id.
using PromptPartId = Id<struct PromptPartTag>;
using GrantId = Id<struct GrantTag>;
using RoleId = Id<struct RoleTag>;
/// SHA-256 digest of a caller's API key, as lower-case hexadecimal digits.
using KeyDigest = Id<struct KeyDigestTag>;

} // namespace bluebell
