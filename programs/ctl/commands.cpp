#include "ctl/commands.h"

#include "core/digest.h"
#include "ctl/explainrequest.h"
#include "ctl/rulefile.h"
#include "io/notifier.h"
#include "peer/peernode.h"
#include "platform/recordstore.h"
#include "rate/shares.h"
#include "records/configstore.h"
#include "records/rows.h"

#include <boost/asio/this_coro.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell::ctl {
namespace {

constexpr Duration PeerTimeout = std::chrono::seconds(1);
constexpr Duration WithdrawalTimeout = std::chrono::seconds(10);
constexpr Duration CommitTimeout = std::chrono::seconds(10);
constexpr Duration PollInterval = std::chrono::milliseconds(100);
constexpr std::size_t KeyBytes = 24;
constexpr std::size_t ChangeIdBytes = 8;
constexpr std::size_t DigestHexDigits = 64;

LineSet toLineSet(const std::vector<std::string> &lines)
{
    return { lines.begin(), lines.end() };
}

void printDelta(const ConfigDelta &delta)
{
    for (const auto &line : delta.removed)
        fmt::print("- {}\n", line);
    for (const auto &line : delta.added)
        fmt::print("+ {}\n", line);
}

/// Prints the changes that were accepted after version `base`.
void printConflict(const ConfigReplica &replica, ConfigVersion base)
{
    printError(
            fmt::format("conflict: the current version is {}, but the file is based on version {}; "
                        "changes accepted since then:",
                        replica.version(), base));
    const auto update = replica.updateSince(base);
    const auto *deltas = update ? std::get_if<std::vector<ConfigDelta>>(&*update) : nullptr;
    if (deltas == nullptr)
        return;
    for (const auto &delta : *deltas) {
        fmt::print("version {} by {}\n", delta.version, delta.author);
        printDelta(delta);
    }
}

/// The commands that talk to the platform or the controllers, and those that work on rule files.
class Tool
{
public:
    Tool(asio::any_io_executor executor, Options options)
        : m_options(std::move(options)), m_records(platform::makeRecordStore(m_options.platform)),
          m_peers(std::move(executor), {})
    {
    }

    asio::awaitable<ExitCode> check(std::string path);
    asio::awaitable<ExitCode> get();
    asio::awaitable<ExitCode> diff(std::string path);
    asio::awaitable<ExitCode> apply(std::string path);
    asio::awaitable<ExitCode> newKey(std::string organisation);
    asio::awaitable<ExitCode> withdrawKey(std::string keyOrDigest);
    asio::awaitable<ExitCode> status();
    asio::awaitable<ExitCode> explain(std::string organisation, std::string replica);
    asio::awaitable<ExitCode> drain(std::string address);

private:
    /// \returns the version that rule files are based on, if it was given on the command line
    [[nodiscard]] std::optional<ConfigVersion> baseVersion() const;
    asio::awaitable<bool> fetchConfig(ConfigReplica &replica);
    /// Reads a rule file and fetches the configuration in force.
    ///
    /// \returns Success when both are available
    asio::awaitable<ExitCode> readRulesAndConfig(std::string path, std::optional<RuleFile> &file,
                                                 ConfigReplica &replica);
    asio::awaitable<bool> fetchConfigFromPeers(ConfigReplica &replica);
    asio::awaitable<ExitCode> publish(const RuleFile &file, const ConfigReplica &replica);
    /// Polls the members until all have at least `version` in force or the wait time is over.
    asio::awaitable<ExitCode> waitUntilInForce(ConfigVersion version);
    /// \returns the members in the platform's table; none when the table service does not answer
    asio::awaitable<std::vector<Member>> members();
    /// \returns the peer addresses of the configured controllers and of all members
    asio::awaitable<std::vector<Endpoint>> controllers();

    Options m_options;
    RecordTable m_records;
    PeerNode m_peers;
};

std::optional<ConfigVersion> Tool::baseVersion() const
{
    if (m_options.base < 0)
        return std::nullopt;
    return static_cast<ConfigVersion>(m_options.base);
}

asio::awaitable<bool> Tool::fetchConfig(ConfigReplica &replica)
{
    const auto fetched = co_await pullConfig(m_records, replica);
    if (fetched)
        co_return true;
    printError("the table service did not answer: " + fetched.error().message);
    co_return false;
}

asio::awaitable<bool> Tool::fetchConfigFromPeers(ConfigReplica &replica)
{
    for (const auto &controller : m_options.controllers) {
        SyncQuestion question;
        question.vm = VmId("ctl");
        auto answer = expectAnswer<SyncAnswer>(
                co_await m_peers.ask(controller, std::move(question), PeerTimeout));
        if (!answer || !answer.value().update)
            continue;
        if (applyUpdate(*answer.value().update, replica))
            co_return true;
    }
    co_return false;
}

asio::awaitable<std::vector<Member>> Tool::members()
{
    std::vector<Member> members;
    const auto found = co_await m_records.range(std::string(rows::MemberPrefix));
    if (!found)
        co_return members;
    for (const auto &row : found.value())
        if (const auto it = rows::decodeMember(row.value))
            members.push_back(it.value().member);
    co_return members;
}

asio::awaitable<std::vector<Endpoint>> Tool::controllers()
{
    auto addresses = m_options.controllers;
    const auto known = co_await members();
    for (const auto &member : known)
        if (std::find(addresses.begin(), addresses.end(), member.address) == addresses.end())
            addresses.push_back(member.address);
    co_return addresses;
}

asio::awaitable<ExitCode> Tool::check(std::string path)
{
    const auto file = readRules(path, baseVersion());
    if (!file)
        co_return ExitCode::Invalid;
    fmt::print("{}: {} rules, no errors\n", path, file->parsed.lines.size());
    co_return ExitCode::Success;
}

asio::awaitable<ExitCode> Tool::get()
{
    ConfigReplica replica;
    if (!co_await fetchConfig(replica))
        co_return ExitCode::Unavailable;
    fmt::print("{}{}\n", VersionHeader, replica.version());
    for (const auto &line : replica.lines())
        fmt::print("{}\n", line);
    co_return ExitCode::Success;
}

asio::awaitable<ExitCode> Tool::readRulesAndConfig(std::string path, std::optional<RuleFile> &file,
                                                   ConfigReplica &replica)
{
    file = readRules(path, baseVersion());
    if (!file)
        co_return ExitCode::Invalid;
    const bool isFetched = co_await fetchConfig(replica);
    co_return isFetched ? ExitCode::Success : ExitCode::Unavailable;
}

asio::awaitable<ExitCode> Tool::diff(std::string path)
{
    std::optional<RuleFile> file;
    ConfigReplica replica;
    const auto code = co_await readRulesAndConfig(std::move(path), file, replica);
    if (code != ExitCode::Success)
        co_return code;
    printDelta(diffLines(replica.lines(), toLineSet(file->parsed.lines)));
    co_return ExitCode::Success;
}

asio::awaitable<ExitCode> Tool::apply(std::string path)
{
    std::optional<RuleFile> file;
    ConfigReplica replica;
    const auto code = co_await readRulesAndConfig(std::move(path), file, replica);
    if (code != ExitCode::Success)
        co_return code;
    if (replica.version() != file->base) {
        printConflict(replica, file->base);
        co_return ExitCode::Conflict;
    }
    co_return co_await publish(*file, replica);
}

asio::awaitable<ExitCode> Tool::publish(const RuleFile &file, const ConfigReplica &replica)
{
    auto delta = diffLines(replica.lines(), toLineSet(file.parsed.lines));
    if (delta.added.empty() && delta.removed.empty()) {
        fmt::print("no difference from version {}\n", replica.version());
        co_return ExitCode::Success;
    }
    delta.author = m_options.author;
    delta.change = ChangeId(randomHex(ChangeIdBytes));
    const auto change = delta.change.value();
    const auto outcome = co_await publishConfig(m_records, replica.lines(), file.base,
                                                std::move(delta), BootClock::now() + CommitTimeout);
    if (!outcome) {
        const bool isNotRun = outcome.error().execution == Execution::NotRun;
        printError(fmt::format("change {} {}: {}", change,
                               isNotRun ? "did not take effect"
                                        : "may have taken effect; 'bluebell-ctl diff' shows it "
                                          "once the table service answers",
                               outcome.error().message));
        co_return ExitCode::Unavailable;
    }
    if (std::holds_alternative<Superseded>(outcome.value())) {
        ConfigReplica newer;
        if (co_await fetchConfig(newer))
            printConflict(newer, file.base);
        co_return ExitCode::Conflict;
    }
    const auto version = std::get<Published>(outcome.value()).version;
    fmt::print("accepted as version {}\n", version);
    if (!writeVersionHeader(file, version))
        printError(fmt::format("'{}' could not be updated; apply it next with --base {}", file.path,
                               version));
    co_return co_await waitUntilInForce(version);
}

asio::awaitable<ExitCode> Tool::waitUntilInForce(ConfigVersion version)
{
    const auto start = BootClock::now();
    const auto deadline = start + m_options.wait;
    std::set<VmId> missing;
    do {
        missing.clear();
        const auto known = co_await members();
        for (const auto &member : known) {
            SyncQuestion question;
            question.vm = VmId("ctl");
            question.version = version;
            const auto answer = expectAnswer<SyncAnswer>(
                    co_await m_peers.ask(member.address, question, PeerTimeout));
            if (!answer || answer.value().version < version)
                missing.insert(member.vm);
        }
        if (missing.empty()) {
            fmt::print("in force everywhere after {} ms\n",
                       toMilliseconds(BootClock::now() - start).count());
            co_return ExitCode::Success;
        }
        co_await sleepFor(PollInterval);
    } while (BootClock::now() < deadline);
    for (const auto &vm : missing)
        printError("not in force on " + vm.value());
    co_return ExitCode::NotInForce;
}

asio::awaitable<ExitCode> Tool::newKey(std::string organisation)
{
    const auto key = "bw-" + randomHex(KeyBytes);
    const auto line = fmt::format("key {} organisation={} # asked for by {}",
                                  digestOfKey(key).value(), organisation, m_options.author);
    if (m_options.json)
        fmt::print("{}\n", json { { "key", key }, { "rule", line } }.dump());
    else
        fmt::print("key (shown once): {}\nrule line: {}\n", key, line);
    co_return ExitCode::Success;
}

asio::awaitable<ExitCode> Tool::withdrawKey(std::string keyOrDigest)
{
    const bool isDigest = keyOrDigest.size() == DigestHexDigits
            && keyOrDigest.find_first_not_of("0123456789abcdef") == std::string::npos;
    const auto digest = isDigest ? KeyDigest(keyOrDigest) : digestOfKey(keyOrDigest);
    const auto addresses = co_await controllers();
    for (const auto &controller : addresses) {
        PeerQuestion question = WithdrawQuestion { digest, true };
        const auto answer = expectAnswer<WithdrawAnswer>(
                co_await m_peers.ask(controller, std::move(question), WithdrawalTimeout));
        if (!answer)
            continue;
        const auto acknowledged = answer.value().acknowledged.size();
        const auto missing = answer.value().missing.size();
        fmt::print("withdrawn on {} daemons\n", acknowledged);
        for (const auto &vm : answer.value().missing)
            printError("not acknowledged by " + vm.value()
                       + "; it rejects all keys while it cannot reach a majority");
        const bool isMajority = acknowledged * 2 > acknowledged + missing;
        if (!isMajority)
            printError("not accepted: fewer than half of the daemons have it; try again");
        co_return isMajority ? ExitCode::Success : ExitCode::NotInForce;
    }
    printError("no controller answered");
    co_return ExitCode::Unavailable;
}

asio::awaitable<ExitCode> Tool::status()
{
    json list = json::array();
    bool hasAnswer = false;
    const auto addresses = co_await controllers();
    for (const auto &controller : addresses) {
        PeerQuestion question = StatusQuestion {};
        const auto answer = expectAnswer<StatusAnswer>(
                co_await m_peers.ask(controller, std::move(question), PeerTimeout));
        if (!answer) {
            printError(toString(controller) + ": " + answer.error().message);
            continue;
        }
        hasAnswer = true;
        for (const auto &[kind, name, detail] : answer.value().rows) {
            if (m_options.json)
                list.push_back({ { "controller", toString(controller) },
                                 { "kind", kind },
                                 { "name", name },
                                 { "detail", detail } });
            else
                fmt::print("{:<12} {:<28} {}\n", kind, name, detail);
        }
    }
    if (m_options.json)
        fmt::print("{}\n", list.dump());
    co_return hasAnswer ? ExitCode::Success : ExitCode::Unavailable;
}

asio::awaitable<ExitCode> Tool::explain(std::string organisation, std::string replica)
{
    ConfigReplica config;
    bool isKnown = co_await fetchConfigFromPeers(config);
    if (!isKnown)
        isKnown = co_await fetchConfig(config);
    if (!isKnown)
        co_return ExitCode::Unavailable;
    const auto rules = config.rules();
    const OrganisationId id(organisation);
    const auto key = parseReplicaKey(replica);
    const auto rule = rules->organisations.find(id);
    if (rule == rules->organisations.end()) {
        fmt::print("refused: version {} has no organisation '{}'\n", config.version(),
                   organisation);
        co_return ExitCode::Invalid;
    }
    if (!rules->mayCall(id, key.model, key.adapter)) {
        fmt::print("refused (not_found): no grant lets '{}' call '{}'\n", organisation, replica);
        co_return ExitCode::Invalid;
    }
    const auto home = shareOf(*rules, id, 0);
    fmt::print("admitted within its rate of {} tokens per second and burst of {}, of which its "
               "home grants {} and {}; class '{}' waits at most {} ms\n",
               rule->second.rate, rule->second.burst, home->rate, home->burst,
               rule->second.classId.value(),
               toMilliseconds(rules->classes.at(rule->second.classId).timeout).count());
    const auto shards = rules->policy.shards;
    fmt::print("loads of '{}' are decided by role {}\n", key.model.value(),
               placementRole(shardOf(key.model, shards)).value());
    const auto addresses = co_await controllers();
    for (const auto &controller : addresses) {
        PeerQuestion question = StatusQuestion {};
        const auto answer = expectAnswer<StatusAnswer>(
                co_await m_peers.ask(controller, std::move(question), PeerTimeout));
        if (!answer)
            continue;
        for (const auto &row : answer.value().rows)
            if (row.name == organisation || row.name == key.model.value())
                fmt::print("{} {}: {}\n", row.kind, row.name, row.detail);
    }
    co_return ExitCode::Success;
}

asio::awaitable<ExitCode> Tool::drain(std::string address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        printError(endpoint.error().message);
        co_return ExitCode::Usage;
    }
    PeerQuestion question = DrainQuestion {};
    const auto answer = expectAnswer<DrainAnswer>(
            co_await m_peers.ask(endpoint.value(), std::move(question), PeerTimeout));
    if (!answer) {
        printError(answer.error().message);
        co_return ExitCode::Unavailable;
    }
    fmt::print("{} is handing over its roles and shutting down\n", address);
    co_return ExitCode::Success;
}

} // namespace

std::string usage()
{
    return "usage: bluebell-ctl COMMAND [options]\n"
           "  check FILE              check a rule file and report every error\n"
           "  get                     print the rules in force\n"
           "  diff FILE               show what apply would change\n"
           "  apply FILE              bring a rule file into force\n"
           "  key new ORGANISATION    create a key and print the rule line with its digest\n"
           "  key withdraw KEY        withdraw a key, given as the key or its digest\n"
           "  status                  show daemons, rates, models and targets\n"
           "  explain ORG MODEL       show why a request would be admitted or refused\n"
           "  explain request ID [FILE...]\n"
           "                          show the timeline of a request from log files or standard "
           "input\n"
           "  drain ADDRESS           stop a controller gracefully\n"
           "'bluebell-ctl --help' lists the options.\n"
           "exit codes: 0 success, 1 invalid or not found, 2 usage, 3 not in force everywhere,\n"
           "            4 conflict with another change, 5 platform or daemons unavailable\n";
}

asio::awaitable<ExitCode> run(Options options, std::vector<std::string> arguments)
{
    Tool tool(co_await asio::this_coro::executor, std::move(options));
    const auto is = [&arguments](std::string_view first, std::size_t count) {
        return arguments.size() == count && arguments.front() == first;
    };
    const bool isKey = arguments.size() == 3 && arguments.front() == "key";
    if (is("check", 2))
        co_return co_await tool.check(arguments[1]);
    if (is("get", 1))
        co_return co_await tool.get();
    if (is("diff", 2))
        co_return co_await tool.diff(arguments[1]);
    if (is("apply", 2))
        co_return co_await tool.apply(arguments[1]);
    if (isKey && arguments[1] == "new")
        co_return co_await tool.newKey(arguments[2]);
    if (isKey && arguments[1] == "withdraw")
        co_return co_await tool.withdrawKey(arguments[2]);
    if (is("status", 1))
        co_return co_await tool.status();
    const bool isRequestTimeline =
            arguments.size() >= 3 && arguments[0] == "explain" && arguments[1] == "request";
    if (isRequestTimeline)
        co_return explainRequest(arguments[2], { arguments.begin() + 3, arguments.end() });
    if (is("explain", 3))
        co_return co_await tool.explain(arguments[1], arguments[2]);
    if (is("drain", 2))
        co_return co_await tool.drain(arguments[1]);
    fmt::print(stderr, "{}", usage());
    co_return ExitCode::Usage;
}

} // namespace bluebell::ctl
