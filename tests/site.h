#pragma once

#include "core/endpoint.h"
#include "http/message.h"

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <thread>
#include <vector>

/// \file
/// Runs controllers, entries and stand-ins for the platform and the targets as processes on
/// loopback.

namespace bluebell::tests {

/// Exit code and output of a finished command.
struct CommandResult
{
    int exitCode = -1;
    std::string output;
};

/// Response that a caller received.
struct CallResult
{
    /// 0 when there was no response.
    unsigned status = 0;
    std::string body;
    /// Whether the body was received up to its end.
    bool isComplete = false;

    [[nodiscard]] bool contains(std::string_view text) const
    {
        return body.find(text) != std::string::npos;
    }
};

/// Size and timing of a site; times as accepted by bluebell-standin.
struct SiteOptions
{
    int vms = 3;
    /// Time between two tokens of a stream.
    std::string tokenInterval = "5ms";
    /// Time that a target takes to load a model.
    std::string modelLoad = "400ms";
};

/// Starts all processes on construction and kills them on destruction; prints their logs when the
/// test has failed.
class Site
{
public:
    explicit Site(SiteOptions options = {});
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts the controller and the entry of VM `n`; VMs are numbered from 1.
    void startVm(int n);
    /// Creates a key, applies the rules with it and waits until every entry is ready.
    void applyRules();

    void signalEntry(int n, int signal) const { signalProcess(m_entryPids.at(n), signal); }
    void signalController(int n, int signal) const
    {
        signalProcess(m_controllerPids.at(n), signal);
    }
    /// Waits for a signalled entry to exit; \returns its exit code, or -1 if a signal killed it.
    int waitEntry(int n);
    int waitController(int n);

    /// Runs bluebell-ctl.
    [[nodiscard]] CommandResult ctl(std::vector<std::string> arguments) const;

    [[nodiscard]] CallResult call(int entry, const HttpRequest &request,
                                  std::chrono::seconds timeout = std::chrono::seconds(30)) const;
    /// Requests a streamed chat completion of `tokens` tokens.
    [[nodiscard]] CallResult
    streamChat(int entry, const std::string &model, int tokens,
               std::chrono::seconds timeout = std::chrono::seconds(30)) const;
    /// Calls the non-idempotent service of the rules under an idempotency key.
    [[nodiscard]] CallResult postReservation(int entry, const std::string &idempotencyKey,
                                             const std::string &body = "{}") const;
    /// Sets faults of a stand-in.
    ///
    /// \param standin the name of a target in the rules, or `platform`
    /// \returns the state of the stand-in as JSON
    std::string control(const std::string &standin, const std::string &json) const;

    /// Polls `condition` until it holds or `limit` has passed; \returns whether it held.
    [[nodiscard]] static bool eventually(const std::function<bool()> &condition,
                                         std::chrono::seconds limit = std::chrono::seconds(40));

    [[nodiscard]] const std::string &key() const noexcept { return m_key; }
    [[nodiscard]] const std::string &rulesPath() const noexcept { return m_rulesPath; }
    [[nodiscard]] bool isReady(int entry) const;
    /// \returns the VM whose controller holds `role`, or 0
    [[nodiscard]] int holderOf(const std::string &role) const;
    /// \returns the peer address of controller `n`
    [[nodiscard]] std::string controllerAddress(int n) const;
    /// Sends `bytes` to an entry unchanged; \returns all bytes received until it closes the
    /// connection.
    [[nodiscard]] std::string sendRaw(int entry, const std::string &bytes) const;

private:
    pid_t start(const std::string &program, std::vector<std::string> arguments);
    static void signalProcess(pid_t pid, int signal);
    static int waitProcess(pid_t &pid);
    [[nodiscard]] std::string readAddress(const std::string &name) const;
    [[nodiscard]] std::string path(const std::string &name) const { return m_dir + '/' + name; }

    SiteOptions m_options;
    std::string m_dir;
    std::string m_rulesPath;
    std::string m_key;
    std::string m_platform;
    std::map<std::string, std::string> m_standins;
    std::string m_peers;
    pid_t m_farmPid = 0;
    std::map<int, pid_t> m_controllerPids;
    std::map<int, pid_t> m_entryPids;
};

} // namespace bluebell::tests
