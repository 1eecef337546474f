#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int MaxBacklog = 512;
constexpr std::size_t ReadBytes = 65536;

sockaddr_in addressOf(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// \returns the first of `count` ports in a row that are free
int freePorts(int count)
{
    static int next = 20000 + static_cast<int>(getpid() % 1000) * 20;
    for (;; next += count) {
        if (next > 60000)
            next = 20000;
        bool isFree = true;
        for (int n = 0; n < count && isFree; ++n) {
            const int fd = socket(AF_INET, SOCK_STREAM, 0);
            const auto address = addressOf(next + n);
            isFree = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(fd);
        }
        if (!isFree)
            continue;
        const int first = next;
        next += count;
        return first;
    }
}

std::uint64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string base64(const std::string &bytes)
{
    static const char *const Digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    std::size_t n = 0;
    for (; n < bytes.size(); n += 3) {
        std::uint32_t group = 0;
        const auto left = std::min<std::size_t>(3, bytes.size() - n);
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U | (k < left ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= left ? Digits[group >> (18U - 6U * k) & 63U] : '=';
    }
    return text;
}

std::string queryOf(const std::string &path, const std::string &name)
{
    const auto start = path.find('?');
    if (start == std::string::npos)
        return {};
    const auto query = "&" + path.substr(start + 1) + "&";
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 2;
    return query.substr(from, query.find('&', from) - from);
}

} // namespace

void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record::Record(const std::string &path) : m_path(path)
{
    std::ofstream(m_path, std::ios::trunc);
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::array<char, 32> time {};
    (void)std::snprintf(time.data(), time.size(), "%8.3f s  ", now());
    std::ofstream(m_path, std::ios::app) << time.data() << text << '\n';
}

std::string Request::header(std::string_view name) const
{
    for (const auto &[key, value] : headers)
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    return {};
}

Channel::~Channel()
{
    close();
}

void Channel::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

void Channel::reset()
{
    const linger now { 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

bool Channel::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool Channel::isClosed() const
{
    char c = 0;
    pollfd fd { m_fd, POLLIN, 0 };
    return poll(&fd, 1, 0) > 0 && recv(m_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

bool Channel::isReset() const
{
    pollfd fd { m_fd, POLLIN, 0 };
    return poll(&fd, 1, 0) > 0 && (fd.revents & POLLERR) != 0;
}

bool Channel::fill()
{
    std::string buffer(ReadBytes, '\0');
    const auto n = recv(m_fd, buffer.data(), buffer.size(), 0);
    if (n <= 0)
        return false;
    m_buffer.append(buffer, 0, static_cast<std::size_t>(n));
    return true;
}

bool Channel::readHead(std::string &head)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
        if (!fill())
            return false;
    head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    return true;
}

bool Channel::readChunks(std::string &body)
{
    for (;;) {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos)
            if (!fill())
                return false;
        const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        m_buffer.erase(0, end + 2);
        while (m_buffer.size() < size + 2)
            if (!fill())
                return false;
        body += m_buffer.substr(0, size);
        m_buffer.erase(0, size + 2);
        if (size == 0)
            return true;
    }
}

bool Channel::read(Request &request)
{
    std::string head;
    if (!readHead(head))
        return false;
    request = {};
    const auto lineEnd = head.find("\r\n");
    const auto line = head.substr(0, lineEnd);
    request.method = line.substr(0, line.find(' '));
    request.path = line.substr(line.find(' ') + 1);
    request.path.erase(request.path.rfind(' '));
    for (auto from = lineEnd + 2; from < head.size();) {
        const auto end = head.find("\r\n", from);
        const auto field = head.substr(from, end - from);
        const auto colon = field.find(':');
        if (colon != std::string::npos) {
            const auto start = field.find_first_not_of(' ', colon + 1);
            request.headers.emplace_back(field.substr(0, colon),
                                         start == std::string::npos ? "" : field.substr(start));
        }
        from = end + 2;
    }
    if (request.header("Transfer-Encoding") == "chunked")
        return readChunks(request.body);
    const auto length = std::strtoul(request.header("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < length)
        if (!fill())
            return false;
    request.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
}

int Channel::readResponse(std::string &head, std::string &body, double seconds)
{
    const timeval time { static_cast<time_t>(seconds),
                         static_cast<suseconds_t>((seconds - static_cast<long>(seconds)) * 1e6) };
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    head.clear();
    body.clear();
    if (!readHead(head))
        return 0;
    const int status = std::atoi(head.c_str() + head.find(' '));
    Request fields;
    for (auto from = head.find("\r\n") + 2; from < head.size();) {
        const auto end = head.find("\r\n", from);
        const auto field = head.substr(from, end - from);
        const auto colon = field.find(':');
        if (colon != std::string::npos)
            fields.headers.emplace_back(field.substr(0, colon), field.substr(colon + 2));
        from = end + 2;
    }
    if (fields.header("Transfer-Encoding") == "chunked") {
        (void)readChunks(body);
        return status;
    }
    const auto length = std::strtoul(fields.header("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < length)
        if (!fill())
            break;
    body = m_buffer.substr(0, length);
    m_buffer.erase(0, std::min<std::size_t>(length, m_buffer.size()));
    return status;
}

std::unique_ptr<Channel> connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<Channel>(fd);
}

Server::Server(Handler handler) : m_handler(std::move(handler))
{
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(0);
    socklen_t size = sizeof address;
    if (bind(m_fd, reinterpret_cast<const sockaddr *>(&address), size) != 0
        || listen(m_fd, MaxBacklog) != 0
        || getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        throw std::runtime_error("cannot listen");
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept(); });
}

Server::~Server()
{
    shutdown(m_fd, SHUT_RDWR);
    m_thread.join();
    ::close(m_fd);
}

void Server::accept()
{
    for (;;) {
        const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] {
            Channel channel(fd);
            Request request;
            while (channel.read(request)) {
                m_handler(request, channel);
                if (request.header("Connection") == "close")
                    return;
            }
        }).detach();
    }
}

std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Store::Store()
{
    m_server = std::make_unique<Server>(
            [this](const Request &request, Channel &channel) { handle(request, channel); });
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = { base64(value), ++m_version, false };
    m_changed.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = { {}, ++m_version, true };
    m_changed.notify_all();
}

json Store::rowOf(const std::string &table, const std::string &key, const Row &row) const
{
    json it = { { "Table", table }, { "part", "" }, { "Key", key }, { "Ver", row.version } };
    if (row.isDeleted)
        it["Deleted"] = true;
    else
        it["Value"] = row.value;
    return it;
}

std::string Store::transact(const Request &request, int &status)
{
    const auto call = json::parse(request.body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    const auto find = [&](const json &id) -> Row & {
        return m_tables[id["Table"].get<std::string>()][id["Key"].get<std::string>()];
    };
    json current = json::array();
    bool holds = true;
    for (const auto &it : call.value("Expected", json::array())) {
        const auto &row = find(it);
        const auto version = row.isDeleted ? 0 : row.version;
        holds = holds && version == it["Ver"].get<std::uint64_t>();
        if (version != 0)
            current.push_back(rowOf(it["Table"], it["Key"], row));
    }
    status = holds ? 200 : 412;
    if (!holds)
        return json { { "Rows", current }, { "Ver", m_version }, { "NowMs", 1 } }.dump();
    ++m_version;
    for (const auto &it : call.value("SetKeys", json::array()))
        find(it) = { it["Value"].get<std::string>(), m_version, false };
    for (const auto &it : call.value("Remove", json::array()))
        find(it) = { {}, m_version, true };
    m_changed.notify_all();
    return json { { "Ver", m_version }, { "NowMs", 1 } }.dump();
}

void Store::handle(const Request &request, Channel &channel)
{
    const std::string type = "Content-Type: application/json\r\nStore-Era: 0\r\n";
    const auto table = queryOf(request.path, "Table");
    if (request.path == "/-/rows-tx") {
        int status = 200;
        const auto body = transact(request, status);
        (void)channel.send(response(status, type, body));
        return;
    }
    json body = { { "Rows", json::array() }, { "HasMore", false } };
    std::unique_lock lock(m_mutex);
    if (request.path.rfind("/-/rows-feed", 0) == 0) {
        const auto after = std::strtoull(queryOf(request.path, "after").c_str(), nullptr, 10);
        const auto wait = std::strtoul(queryOf(request.path, "WaitMs").c_str(), nullptr, 10);
        const auto collect = [&] {
            for (const auto &[key, row] : m_tables[table])
                if (row.version > after)
                    body["Rows"].push_back(rowOf(table, key, row));
            return !body["Rows"].empty();
        };
        m_changed.wait_for(lock, std::chrono::milliseconds(wait), collect);
    } else if (request.path.rfind("/-/rows-get", 0) == 0) {
        for (const auto &[key, row] : m_tables[table])
            if (!row.isDeleted && row.version > 0)
                body["Rows"].push_back(rowOf(table, key, row));
    } else {
        lock.unlock();
        (void)channel.send(response(404, type, "{}"));
        return;
    }
    body["Ver"] = m_version;
    body["NowMs"] = 1;
    lock.unlock();
    (void)channel.send(response(200, type, body.dump()));
}

PlainServer::PlainServer(Store &store, Record &record, std::string id, std::string service)
    : m_store(store), m_record(record), m_id(std::move(id)), m_service(std::move(service)),
      m_born(unixMs())
{
    m_server = std::make_unique<Server>(
            [this](const Request &request, Channel &channel) { handle(request, channel); });
    m_beats = std::thread([this] { beat(); });
}

PlainServer::~PlainServer()
{
    m_isEnding = true;
    m_beats.join();
}

void PlainServer::beat()
{
    for (std::uint64_t n = 1; !m_isEnding; ++n) {
        const json entry = { { "Service", m_service },
                             { "Address", "127.0.0.1:" + std::to_string(m_server->port()) },
                             { "Zone", "leicester" },
                             { "Version", 1 },
                             { "Slots", 6 },
                             { "State", "ready" },
                             { "ColdLeftMs", 0 },
                             { "Sequence", n },
                             { "born", m_born } };
        m_store.put("servers", m_id, entry.dump());
        for (int k = 0; k < 12 && !m_isEnding; ++k)
            sleepMs(100);
    }
}

std::vector<Run> PlainServer::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string PlainServer::headOf(const Request &request) const
{
    return "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\nX-Instance-Id: " + m_id
            + "\r\nX-Server-Seal: seal-" + m_id + "\r\n";
}

void PlainServer::handle(const Request &request, Channel &channel)
{
    const auto attempt = request.header("X-Attempt-Id");
    const auto head = "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + m_id + "\r\n";
    if (request.path == "/healthz") {
        (void)channel.send(response(200, head, ""));
        return;
    }
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        (void)channel.send(response(421, head + "X-Not-Executed: 1\r\n", ""));
        return;
    }
    std::size_t n = 0;
    {
        const std::lock_guard lock(m_mutex);
        n = m_runs.size();
        m_runs.push_back({ attempt, request.path, request.header("X-Tenant"), request.body.size(),
                           m_record.now(), 0 });
    }
    m_record.line("server " + m_id + " runs " + attempt + ": " + request.method + " " + request.path
                  + ", X-Tenant '" + request.header("X-Tenant") + "', body of "
                  + std::to_string(request.body.size()) + " bytes");
    if (work) {
        work(request, channel);
    } else {
        // A sound server drops a request when its channel closes.
        for (int ms = 0; ms < workMs && !channel.isClosed(); ms += 5)
            sleepMs(5);
        if (channel.isClosed()) {
            m_record.line("server " + m_id + " drops " + attempt + ": its channel was closed");
        } else {
            (void)channel.send(response(200, head + "X-Server-Seal: seal-" + m_id + "\r\n",
                                        "done " + attempt));
            m_record.line("server " + m_id + " answers " + attempt + " with 200");
        }
    }
    const std::lock_guard lock(m_mutex);
    m_runs[n].endedAt = m_record.now();
}

Link::Link(int port) : m_target(port)
{
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = addressOf(0);
    socklen_t size = sizeof address;
    if (bind(m_fd, reinterpret_cast<const sockaddr *>(&address), size) != 0
        || listen(m_fd, MaxBacklog) != 0
        || getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        throw std::runtime_error("cannot listen");
    m_port = ntohs(address.sin_port);
    std::thread([this] { accept(); }).detach();
}

void Link::accept()
{
    for (;;) {
        const int from = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (from < 0)
            return;
        std::thread([this, from] {
            while (m_isCut)
                sleepMs(10);
            const int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = addressOf(m_target);
            if (connect(to, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
                std::thread back([this, from, to] { pass(to, from); });
                pass(from, to);
                back.join();
            }
            ::close(from);
            ::close(to);
        }).detach();
    }
}

void Link::pass(int from, int to) const
{
    std::string buffer(ReadBytes, '\0');
    for (;;) {
        const auto n = recv(from, buffer.data(), buffer.size(), 0);
        while (m_isCut)
            sleepMs(10);
        if (n <= 0 || send(to, buffer.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL) != n)
            break;
    }
    shutdown(to, SHUT_WR);
    shutdown(from, SHUT_RD);
}

Engine::Engine(Store &store, Record &record, std::string id)
    : m_store(store), m_record(record), m_id(std::move(id)), m_born(unixMs())
{
    m_server = std::make_unique<Server>(
            [this](const Request &request, Channel &channel) { handle(request, channel); });
    m_beats = std::thread([this] { beat(); });
}

json Engine::state() const
{
    json models = json::array();
    for (const auto &it : m_models)
        models.push_back({ { "Name", it }, { "Version", 1 }, { "Adapters", json::array() } });
    return { { "Stage", "prefill_decode" },
             { "Models", models },
             { "Busy", !m_pendingModel.empty() },
             { "Sequence", m_sequence },
             { "Queued", 0 },
             { "Running", 0 },
             { "KvUsed", 0 },
             { "KvTotal", 90000 },
             { "Handles", 0 },
             { "born", m_born } };
}

void Engine::beat()
{
    for (std::uint64_t n = 1;; ++n) {
        json entry;
        {
            const std::lock_guard lock(m_mutex);
            finishOrder();
            entry = state();
        }
        entry["Service"] = "chat";
        entry["Address"] = "127.0.0.1:" + std::to_string(m_server->port());
        entry["Zone"] = "leicester";
        entry["Slots"] = 64;
        entry["State"] = "ready";
        entry["ColdLeftMs"] = 0;
        entry["Sequence"] = n;
        m_store.put("servers", m_id, entry.dump());
        sleepMs(1200);
    }
}

void Engine::finishOrder()
{
    if (m_pendingModel.empty() || m_record.now() < m_pendingUntil)
        return;
    if (m_isPendingLoad)
        m_models.insert(m_pendingModel);
    else
        m_models.erase(m_pendingModel);
    m_pendingModel.clear();
}

std::vector<Order> Engine::orders() const
{
    const std::lock_guard lock(m_mutex);
    return m_orders;
}

void Engine::handleOrder(const Request &request, Channel &channel)
{
    const auto call = json::parse(request.body, nullptr, false);
    const auto holder = call.value("Holder", "");
    if (const auto seconds = delay ? delay(holder) : 0; seconds > 0) {
        sleepMs(static_cast<int>(seconds * 1000));
        if (channel.isReset()) {
            m_record.line("the held order of " + holder + " is lost: its channel was reset");
            return;
        }
    }
    const std::lock_guard lock(m_mutex);
    finishOrder();
    const auto model = call.value("Model", "");
    const auto operation = call.value("Operation", "");
    const auto fence = call.value("FenceToken", std::uint64_t(0));
    const bool conflicts =
            !m_pendingModel.empty() || call.value("Expected", m_sequence) != m_sequence;
    if (!conflicts) {
        ++m_sequence;
        m_pendingModel = model;
        m_isPendingLoad = operation == "load";
        m_pendingUntil = m_record.now() + (m_isPendingLoad ? 0.3 : 0.05);
    }
    const auto text = operation + " " + model;
    m_orders.push_back({ m_record.now(), holder, fence, text });
    m_record.line("engine gets an order of " + holder + " with fence number "
                  + std::to_string(fence) + ": " + text + ", answers "
                  + (conflicts ? "409" : "202"));
    (void)channel.send(response(conflicts ? 409 : 202, "X-Instance-Id: " + m_id + "\r\n", ""));
}

void Engine::handle(const Request &request, Channel &channel)
{
    if (const double seconds = request.path == "/-/order" ? m_nextSilence.exchange(0) : 0;
        seconds > 0) {
        m_silentUntil = m_record.now() + seconds;
        m_record.line("the engine falls silent, an order has just come");
    }
    const bool wasSilent = m_record.now() < m_silentUntil;
    while (m_record.now() < m_silentUntil)
        sleepMs(2);
    // What was on a channel that its sender has reset is gone.
    if (wasSilent && channel.isReset())
        return;
    const auto head = "X-Instance-Id: " + m_id + "\r\n";
    if (request.path == "/-/order") {
        handleOrder(request, channel);
        return;
    }
    const std::lock_guard lock(m_mutex);
    finishOrder();
    if (request.path == "/-/report") {
        (void)channel.send(
                response(200, head + "Content-Type: application/json\r\n", state().dump()));
        return;
    }
    const auto echo = head + "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\n";
    const auto model = request.header("X-Model");
    if (!m_models.contains(model) || (model == m_pendingModel && !m_isPendingLoad))
        (void)channel.send(response(421, echo + "X-Not-Executed: 1\r\n", ""));
    else
        (void)channel.send(response(200,
                                    echo + "X-Server-Seal: seal-" + m_id
                                            + "\r\nContent-Type: text/event-stream\r\n",
                                    "id: 1\ndata: x\n\n"));
}

Gateway::Gateway(std::string program, const std::string &folder, int storePort,
                 const std::string &name, bool isFirstStart)
    : m_program(std::move(program)), m_base(freePorts(20))
{
    // Two machines may bear one name.
    const auto path = folder + "/" + name + "-" + std::to_string(m_base);
    m_settings = path + ".toml";
    m_log = path + ".log";
    const auto address = [&](int n) {
        return "\"127.0.0.1:" + std::to_string(m_base + n) + "\"\n";
    };
    std::ofstream out(m_settings);
    out << "NodeName = \"" << name << "\"\nRole = \"gateway\"\nMachineClass = \"front\"\n"
        << "Ip = \"127.0.0.1\"\nZone = \"leicester\"\nRegion = \"midlands\"\n"
        << "InnerPortRange = [" << m_base + 4 << "," << m_base + 19 << "]\n"
        << "FirstStart = " << (isFirstStart ? "true" : "false")
        << "\nDiscovery = \"platform\"\nEntry = \"directory\"\n"
        << "BeatIntervalMs = 1200\n[Zones]\nleicester = \"midlands\"\n"
        << "[Listen]\nFront = " << address(0) << "Ready = " << address(1)
        << "Control = " << address(2) << "Directory = " << address(3)
        << "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n"
        << "LinkMbps = 1000.0\nDiskMb = 0\n"
        << "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\n"
        << "CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\n"
        << "RollbackSlackMs = 250\nBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetExtra = 56\n"
        << "QuotaWindowS = 8\nQuotaExcess = 0.1\nQuotaSlack = 17000\nRecoverS = 12\n"
        << "LeaseMs = 3000\nThawMs = 300\nttl_max_s = 5\n"
        << "[Platform]\nAddress = \"127.0.0.1:" << storePort
        << "\"\nform = \"table\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n";
}

Gateway::~Gateway()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void Gateway::start()
{
    m_pid = fork();
    if (m_pid != 0)
        return;
    // The gateway ends with this process, also if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("BLUEBELLWALK_CONFIG", m_settings.c_str(), 1);
    const int out = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(m_program.c_str(), m_program.c_str(), static_cast<char *>(nullptr));
    _exit(127);
}

void Gateway::signal(int number) const
{
    kill(m_pid, number);
}

bool Gateway::isRunning() const
{
    return m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == 0;
}

bool Gateway::awaitReady(double seconds) const
{
    const auto end = Clock::now() + std::chrono::duration<double>(seconds);
    while (Clock::now() < end) {
        std::string head;
        std::string body;
        const auto channel = connectTo(m_base + 1);
        if (channel
            && channel->send("GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            && channel->readResponse(head, body, 1) == 200)
            return true;
        sleepMs(50);
    }
    return false;
}

json siteConfig(std::uint64_t version)
{
    const auto route = [](const std::string &name, const std::string &kind, int attempts) {
        return json {
            { "Name", name },       { "Host", "shop.example" }, { "Prefix", "/" + name + "/" },
            { "Kind", kind },       { "TimeoutMs", 8000 },      { "LatencyGoalMs", 150 },
            { "Priority", 2 },      { "Service", "stock" },     { "MaxAttempts", attempts },
            { "Anonymous", false }, { "Sticky", false },        { "Resumable", false },
            { "GapAimMs", 250 }
        };
    };
    return { { "Version", version },
             { "Routes", { route("order", "non_idempotent", 1), route("look", "idempotent", 2) } },
             { "Services",
               { { { "Name", "stock" },
                   { "HealthPath", "/healthz" },
                   { "MaxConns", 110 },
                   { "Protocol", "h1" },
                   { "Tls", false } } } },
             { "Limits",
               { { "HeaderBytes", 16384 },
                 { "MaxBodyBytes", 4194304 },
                 { "HeaderTimeoutMs", 3000 },
                 { "IdleTimeoutMs", 15000 } } },
             { "Tenants",
               { { { "Name", "hifi" },
                   { "ApiKeys", { "key-1" } },
                   { "Priority", 1 },
                   { "Unit", "token_count" },
                   { "PlainTokens", 200 },
                   { "RatePerS", 50000 },
                   { "Burst", 50000 } } } } };
}

json engineConfig(std::uint64_t version)
{
    auto config = siteConfig(version);
    auto chat = config["Routes"][0];
    chat["Name"] = "chat";
    chat["Prefix"] = "/chat/";
    chat["Kind"] = "streaming";
    chat["Service"] = "chat";
    chat["Sticky"] = true;
    config["Routes"].push_back(chat);
    json models = json::array();
    for (int n = 0; n < 4; ++n)
        models.push_back({ { "Name", "m" + std::to_string(n) },
                           { "WeightsMb", 60000 },
                           { "LoadS", 0.3 },
                           { "WarmS", 0.3 },
                           { "DiskS", 0.3 },
                           { "Adapters", 0 },
                           { "AdapterMb", 66 } });
    config["Services"].push_back({ { "Name", "chat" },
                                   { "HealthPath", "/healthz" },
                                   { "MaxConns", 370 },
                                   { "Engine",
                                     { { "Slots", 64 },
                                       { "KvCapacity", 90000 },
                                       { "HostMb", 0 },
                                       { "DiskMb", 0 },
                                       { "Models", models },
                                       { "WeightsMb", 80000 },
                                       { "AdapterSlots", 8 },
                                       { "LoadsPerS", 50 } } } });
    return config;
}

} // namespace review
