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
/// A small site of real processes for tests: stand-ins, controllers and entries on loopback.

namespace bluebell::tests {

/// What a finished command printed and returned.
struct CommandResult
{
    int exitCode = -1;
    std::string output;
};

/// What a caller got.
struct CallResult
{
    /// 0 when there was no response at all.
    unsigned status = 0;
    std::string body;
    /// The body ended properly.
    bool isWhole = false;

    [[nodiscard]] bool contains(std::string_view text) const
    {
        return body.find(text) != std::string::npos;
    }
};

struct SiteOptions
{
    int vms = 3;
    std::string tokenInterval = "5ms";
    std::string modelLoad = "400ms";
};

class Site
{
public:
    explicit Site(SiteOptions options = {});
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts the controller and the entry of VM `n`, counted from 1.
    void startVm(int n);
    /// Applies the rules with one key and waits until every entry is ready.
    void applyRules();

    void signalEntry(int n, int signal) const { signalProcess(m_entryPids.at(n), signal); }
    void signalController(int n, int signal) const
    {
        signalProcess(m_controllerPids.at(n), signal);
    }
    /// \returns the exit code of an entry that was told to stop
    int waitEntry(int n);
    int waitController(int n);

    [[nodiscard]] CommandResult ctl(std::vector<std::string> words) const;

    [[nodiscard]] CallResult call(int entry, const HttpRequest &request,
                                  std::chrono::seconds timeout = std::chrono::seconds(30)) const;
    /// Asks `model` for `tokens` tokens as a stream.
    [[nodiscard]] CallResult ask(int entry, const std::string &model, int tokens,
                                 std::chrono::seconds timeout = std::chrono::seconds(30)) const;
    /// Places an order under an idempotency key.
    [[nodiscard]] CallResult order(int entry, const std::string &orderKey,
                                   const std::string &body = "{}") const;
    /// Sets faults of a stand-in, by the rules' target name or `platform`.
    std::string control(const std::string &standin, const std::string &json) const;

    /// Waits for `condition`, for at most a generous time.
    [[nodiscard]] static bool eventually(const std::function<bool()> &condition,
                                         std::chrono::seconds limit = std::chrono::seconds(40));

    [[nodiscard]] const std::string &key() const noexcept { return m_key; }
    [[nodiscard]] const std::string &rulesPath() const noexcept { return m_rulesPath; }
    [[nodiscard]] bool isReady(int entry) const;
    /// \returns the VM whose controller holds `role`, or 0
    [[nodiscard]] int holderOf(const std::string &role) const;
    /// \returns the peer address of controller `n`
    [[nodiscard]] std::string controllerAddress(int n) const;
    /// Sends bytes to an entry as they are; \returns what comes back.
    [[nodiscard]] std::string sendRaw(int entry, const std::string &bytes) const;

private:
    pid_t start(const std::string &program, std::vector<std::string> words);
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
