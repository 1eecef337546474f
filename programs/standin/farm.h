#pragma once

#include "rules/parser.h"
#include "standin/engineserver.h"
#include "standin/platformserver.h"
#include "standin/serviceserver.h"

#include <map>
#include <memory>
#include <string>

/// \file
/// A platform stand-in and a stand-in for every target of a rule file, in one process.

namespace bluebell::standin {

struct FarmSettings
{
    /// Address that the platform listens on.
    Endpoint platform { "127.0.0.1", 0 };
    WeightStoreSettings store;
    PlatformLimits limits;
    Duration tokenInterval = std::chrono::milliseconds(5);
};

class Farm
{
public:
    Farm(boost::asio::io_context &context, FarmSettings settings);

    /// Starts the platform on its configured address and the targets of `rules` on ephemeral ports.
    ///
    /// \returns an error when an address cannot be listened on
    Result<void> start(const RuleSet &rules);

    [[nodiscard]] PlatformServer &platform() noexcept { return m_platform; }
    [[nodiscard]] WeightStore &store() noexcept { return m_store; }
    [[nodiscard]] EngineServer &engine(const TargetId &id) { return *m_engines.at(id); }
    [[nodiscard]] ServiceServer &service(const TargetId &id) { return *m_services.at(id); }
    [[nodiscard]] const std::map<TargetId, std::unique_ptr<EngineServer>> &engines() const noexcept
    {
        return m_engines;
    }
    [[nodiscard]] const Endpoint &platformAddress() const noexcept { return m_platformAddress; }

    /// \returns the rule file `text` with each target's address replaced by that of its stand-in
    [[nodiscard]] std::string withAddresses(const std::string &text, const RuleSet &rules) const;

private:
    boost::asio::io_context &m_context;
    FarmSettings m_settings;
    WeightStore m_store;
    PlatformServer m_platform;
    Endpoint m_platformAddress;
    std::map<TargetId, std::unique_ptr<EngineServer>> m_engines;
    std::map<TargetId, std::unique_ptr<ServiceServer>> m_services;
    std::map<TargetId, Endpoint> m_addresses;
};

} // namespace bluebell::standin
