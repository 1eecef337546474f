#include "standin/farm.h"

namespace bluebell::standin {

Farm::Farm(boost::asio::io_context &context, FarmSettings settings)
    : m_context(context), m_settings(std::move(settings)), m_store(context, m_settings.store),
      m_platform(context, m_settings.limits)
{
}

Result<void> Farm::start(const RuleSet &rules)
{
    BOOST_OUTCOME_TRY(m_platformAddress, m_platform.listen(m_settings.platform));
    const Endpoint any { "127.0.0.1", 0 };
    for (const auto &[id, rule] : rules.targets) {
        if (rule.kind == TargetKind::Service) {
            auto &service = m_services[id] = std::make_unique<ServiceServer>(m_context);
            BOOST_OUTCOME_TRY(m_addresses[id], service->listen(any));
            continue;
        }
        EngineSettings settings;
        settings.memory = rule.memory;
        settings.slots = rule.slots;
        settings.checksFencing = rule.checksFencing;
        settings.tokenInterval = m_settings.tokenInterval;
        auto &engine = m_engines[id] =
                std::make_unique<EngineServer>(m_context, m_store, std::move(settings));
        BOOST_OUTCOME_TRY(m_addresses[id], engine->listen(any));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string Farm::withAddresses(const std::string &text, const RuleSet &rules) const
{
    auto changed = text;
    for (const auto &[id, rule] : rules.targets) {
        const auto before = "address=" + toString(rule.address) + ' ';
        const auto after = "address=" + toString(m_addresses.at(id)) + ' ';
        if (const auto it = changed.find(before); it != std::string::npos)
            changed.replace(it, before.size(), after);
    }
    return changed;
}

} // namespace bluebell::standin
