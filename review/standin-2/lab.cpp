#include "lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace lab {
namespace {

const Clock::time_point Started = Clock::now();

std::string lower(std::string_view text)
{
    std::string it(text);
    std::transform(it.begin(), it.end(), it.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return it;
}

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in it {};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
    return it;
}

/// \returns false when the other side has closed the connection
bool receive(int fd, std::string &out)
{
    char buf[16384];
    const auto n = ::recv(fd, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    out.append(buf, static_cast<std::size_t>(n));
    return true;
}

void setTimeout(int fd, double seconds)
{
    timeval it {};
    it.tv_sec = static_cast<time_t>(seconds);
    it.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(it.tv_sec)) * 1e6);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &it, sizeof it);
}

bool readRequest(int fd, Request &request)
{
    std::string bytes;
    while (bytes.find("\r\n\r\n") == std::string::npos)
        if (!receive(fd, bytes))
            return false;
    const auto end = bytes.find("\r\n\r\n");
    std::istringstream head(bytes.substr(0, end));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    first >> request.method >> request.path;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        request.headers.emplace_back(line.substr(0, colon), value);
    }
    const auto length = request.header("Content-Length");
    const auto wanted = length.empty() ? 0 : std::stoul(length);
    auto body = bytes.substr(end + 4);
    while (body.size() < wanted)
        if (!receive(fd, body))
            return false;
    request.body = body.substr(0, wanted);
    return true;
}

std::string reasonOf(int status)
{
    return status < 300 ? "OK" : "Refused";
}

std::string encodeBase64(const std::string &bytes)
{
    static const char *const Digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        const auto at = [&](std::size_t i) {
            return i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U;
        };
        const unsigned group = (at(n) << 16U) | (at(n + 1) << 8U) | at(n + 2);
        out += Digits[(group >> 18U) & 63U];
        out += Digits[(group >> 12U) & 63U];
        out += n + 1 < bytes.size() ? Digits[(group >> 6U) & 63U] : '=';
        out += n + 2 < bytes.size() ? Digits[group & 63U] : '=';
    }
    return out;
}

std::string decodeBase64(const std::string &text)
{
    std::string out;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        int n = -1;
        if (c >= 'A' && c <= 'Z')
            n = c - 'A';
        else if (c >= 'a' && c <= 'z')
            n = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            n = c - '0' + 52;
        else if (c == '+')
            n = 62;
        else if (c == '/')
            n = 63;
        if (n < 0)
            break;
        group = (group << 6U) | static_cast<unsigned>(n);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return out;
}

std::string unescape(const std::string &text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else {
            out += text[n];
        }
    }
    return out;
}

std::string queryOf(const std::string &path, const std::string &name)
{
    auto text = path.substr(std::min(path.find('?'), path.size()));
    const auto at = text.find(name + "=");
    if (at == std::string::npos || (text[at - 1] != '?' && text[at - 1] != '&'))
        return {};
    const auto from = at + name.size() + 1;
    return unescape(text.substr(from, text.find('&', from) - from));
}

Response jsonResponse(int status, const json &body)
{
    return { status, { { "Content-Type", "application/json" } }, body.dump() };
}

} // namespace

void sendAll(int fd, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return;
        sent += static_cast<std::size_t>(n);
    }
}

double now()
{
    return std::chrono::duration<double>(Clock::now() - Started).count();
}

void pause(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void Record::line(const std::string &text)
{
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f  ", now());
    const std::lock_guard lock(m_mutex);
    m_file << at << text << '\n' << std::flush;
}

std::string Request::header(std::string_view name) const
{
    for (const auto &[key, value] : headers)
        if (lower(key) == lower(name))
            return value;
    return {};
}

// HttpServer

HttpServer::HttpServer(Handler handler) : m_handler(std::move(handler))
{
    listen();
}

void HttpServer::listen()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = addressOf("127.0.0.1", m_port);
    socklen_t size = sizeof address;
    ::bind(listener, reinterpret_cast<sockaddr *>(&address), size);
    ::listen(listener, 512);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_listener = listener;
    std::thread([this, listener] {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                break;
            std::thread([this, fd] { serve(fd); }).detach();
        }
        ::close(listener);
    }).detach();
}

void HttpServer::stop()
{
    const std::lock_guard lock(m_mutex);
    ::shutdown(m_listener, SHUT_RDWR);
    for (const int fd : m_open)
        ::shutdown(fd, SHUT_RDWR);
}

void HttpServer::restart()
{
    listen();
}

void HttpServer::serve(int fd)
{
    {
        const std::lock_guard lock(m_mutex);
        m_open.insert(fd);
    }
    setTimeout(fd, 60);
    Request request;
    if (readRequest(fd, request)) {
        const auto response = m_handler(request);
        std::string text =
                "HTTP/1.1 " + std::to_string(response.status) + " " + reasonOf(response.status);
        text += "\r\nConnection: close\r\nContent-Length: " + std::to_string(response.body.size());
        for (const auto &[name, value] : response.headers)
            text += "\r\n" + name + ": " + value;
        if (response.write)
            response.write(fd);
        else
            sendAll(fd, text + "\r\n\r\n" + response.body);
        ::shutdown(fd, SHUT_WR);
        std::string rest;
        setTimeout(fd, 1);
        while (receive(fd, rest)) { }
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    ::close(fd);
}

// Store

Store::Store() = default;

int Store::open(const std::string &machine)
{
    m_servers.push_back(std::make_unique<HttpServer>(
            [this, machine](const Request &request) { return handle(machine, request); }));
    return m_servers.back()->port();
}

void Store::set(const Id &id, std::string value, bool isDeleted, std::uint64_t version)
{
    m_rows[id] = { std::move(value), version, isDeleted };
}

void Store::put(const std::string &table, const std::string &key, const json &value)
{
    const std::lock_guard lock(m_mutex);
    set({ table, key }, value.dump(), false, ++m_version);
    m_changed.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    set({ table, key }, {}, true, ++m_version);
    m_changed.notify_all();
}

json Store::rowOf(const Id &id, const Row &row, bool withValue) const
{
    json it = { { "Table", id.first },
                { "part", "" },
                { "Key", id.second },
                { "Ver", row.isDeleted ? 0 : row.version } };
    if (withValue)
        it["Value"] = encodeBase64(row.value);
    return it;
}

Response Store::read(const std::string &table, const std::string &from, const std::string &to)
{
    const std::lock_guard lock(m_mutex);
    json body = { { "Rows", json::array() }, { "Ver", m_version }, { "HasMore", false } };
    body["NowMs"] = static_cast<std::int64_t>(now() * 1000);
    for (const auto &[id, row] : m_rows)
        if (id.first == table && !row.isDeleted && id.second >= from
            && (to.empty() || id.second < to))
            body["Rows"].push_back(rowOf(id, row, true));
    return jsonResponse(200, body);
}

Response Store::feed(const std::string &table, std::uint64_t after, int waitMs)
{
    std::unique_lock lock(m_mutex);
    const auto changed = [&] {
        std::vector<std::pair<Id, Row>> rows;
        for (const auto &[id, row] : m_rows)
            if (id.first == table && row.version > after)
                rows.emplace_back(id, row);
        return rows;
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(std::min(waitMs, 30000)),
                       [&] { return !changed().empty(); });
    auto rows = changed();
    std::sort(rows.begin(), rows.end(),
              [](const auto &a, const auto &b) { return a.second.version < b.second.version; });
    json body = { { "Rows", json::array() }, { "Ver", m_version } };
    body["NowMs"] = static_cast<std::int64_t>(now() * 1000);
    for (const auto &[id, row] : rows) {
        auto it = rowOf(id, row, true);
        it["Ver"] = row.version;
        if (row.isDeleted)
            it["Deleted"] = true;
        body["Rows"].push_back(std::move(it));
    }
    return jsonResponse(200, body);
}

Response Store::transact(const std::string &machine, const json &body)
{
    const std::lock_guard lock(m_mutex);
    const auto idOf = [](const json &it) {
        return Id { it.at("Table").get<std::string>(), it.at("Key").get<std::string>() };
    };
    json current = json::array();
    bool holds = true;
    for (const auto &it : body.value("Expected", json::array())) {
        const auto row = m_rows.find(idOf(it));
        const auto version = row == m_rows.end() || row->second.isDeleted ? 0 : row->second.version;
        holds = holds && version == it.value("Ver", std::uint64_t(0));
        if (version > 0)
            current.push_back(rowOf(row->first, row->second, true));
    }
    if (!holds)
        return jsonResponse(412, { { "Rows", current }, { "Ver", m_version } });
    for (const char *part : { "SetKeys", "Remove" })
        for (const auto &it : body.value(part, json::array()))
            if (const auto table = idOf(it).first; table == "op" || table == "servers")
                return jsonResponse(403, json::object());
    ++m_version;
    for (const auto &it : body.value("SetKeys", json::array())) {
        const auto id = idOf(it);
        auto value = decodeBase64(it.value("Value", std::string()));
        if (onWrite)
            onWrite(machine, id.first, id.second, value);
        set(id, std::move(value), false, m_version);
    }
    for (const auto &it : body.value("Remove", json::array()))
        set(idOf(it), {}, true, m_version);
    m_changed.notify_all();
    return jsonResponse(200, { { "Ver", m_version } });
}

Response Store::handle(const std::string &machine, const Request &request)
{
    const auto path = request.path.substr(0, request.path.find('?'));
    const auto query = [&](const char *name) {
        return queryOf(request.path, name);
    };
    if (path == "/-/rows-get")
        return read(query("Table"), query("From"), query("To"));
    if (path == "/-/rows-feed")
        return feed(query("Table"), std::stoull("0" + query("after")),
                    std::stoi("0" + query("WaitMs")));
    if (path == "/-/rows-tx")
        return transact(machine, json::parse(request.body));
    return jsonResponse(404, json::object());
}

// Server

Server::Server(Store &store, Record &record, std::string id, std::string service, int slots)
    : m_store(store), m_record(record), m_id(std::move(id)), m_service(std::move(service)),
      m_slots(slots)
{
    m_http = std::make_unique<HttpServer>(
            [this](const Request &request) { return handle(request); });
}

void Server::holdModels(const std::vector<Model> &known, const std::set<std::string> &resident,
                        double loadSeconds, double diskSeconds)
{
    m_isEngine = true;
    for (const auto &it : known)
        m_known[it.name] = it.adapters;
    for (const auto &it : resident) {
        m_resident[it];
        m_onDisk.insert(it);
    }
    m_loadSeconds = loadSeconds;
    m_diskSeconds = diskSeconds;
}

void Server::copyAllToDisk()
{
    for (const auto &[name, adapters] : m_known)
        m_onDisk.insert(name);
}

void Server::start()
{
    publish();
    std::thread([this] {
        for (;;) {
            pause(1.2);
            publish();
        }
    }).detach();
}

std::vector<Seen> Server::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::vector<Seen> Server::orders()
{
    const std::lock_guard lock(m_mutex);
    return m_orders;
}

json Server::state()
{
    json it = { { "born", m_born } };
    if (!m_isEngine)
        return it;
    it["Stage"] = "prefill_decode";
    it["Models"] = json::array();
    for (const auto &[name, adapters] : m_resident)
        it["Models"].push_back({ { "Name", name }, { "Version", 1 }, { "Adapters", adapters } });
    it["AtHand"] = { { "InMemory", json::array() }, { "OnDisk", m_onDisk } };
    return it;
}

void Server::publish()
{
    const std::lock_guard lock(m_mutex);
    if (m_isDown)
        return;
    auto it = state();
    it["Service"] = m_service;
    it["Address"] = "127.0.0.1:" + std::to_string(m_http->port());
    it["Zone"] = "leicester";
    it["Version"] = "v1";
    it["Slots"] = m_slots;
    it["State"] = "ready";
    it["ColdLeftMs"] = 0;
    it["Sequence"] = ++m_beats;
    m_store.put("servers", m_id, it);
}

Response Server::handle(const Request &request)
{
    if (const auto expected = request.header("X-Expect-Instance");
        !expected.empty() && expected != m_id)
        return jsonResponse(421, json::object());
    const auto path = request.path.substr(0, request.path.find('?'));
    if (path == "/healthz")
        return { 200, { { "X-Instance-Id", m_id } }, "" };
    if (path == "/-/report") {
        const std::lock_guard lock(m_mutex);
        auto it = state();
        it["Busy"] = m_isBusy;
        it["Sequence"] = m_sequence;
        it["Queued"] = 0;
        it["Running"] = 0;
        it["KvUsed"] = 0;
        it["KvTotal"] = 150000;
        it["Handles"] = 0;
        return jsonResponse(200, it);
    }
    return path == "/-/order" ? order(request) : run(request);
}

Response Server::orderAdapter(const std::string &model, const std::string &adapter, bool isLoad)
{
    const auto held = m_resident.find(model);
    const auto number = adapter.size() > 1 && adapter[0] == 'a'
            ? std::strtol(adapter.c_str() + 1, nullptr, 10)
            : 0;
    const auto known = m_known.find(model);
    if (held == m_resident.end() || known == m_known.end() || number < 1 || number > known->second)
        return jsonResponse(400, json::object());
    ++m_sequence;
    if (isLoad)
        held->second.insert(adapter);
    else
        held->second.erase(adapter);
    return jsonResponse(isLoad ? 202 : 200, json::object());
}

Response Server::order(const Request &request)
{
    const auto body = json::parse(request.body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    m_orders.push_back({ now(), m_id, request });
    m_record.line("order at " + m_id + ": " + request.body.substr(0, 160));
    if (!body.is_object() || !body.contains("Holder") || !body.contains("FenceToken"))
        return jsonResponse(400, json::object());
    const auto isLoad = body.value("Operation", "") == "load";
    const auto model = body.value("Model", "");
    const auto adapter = body.value("Adapter", "");
    if (body.contains("Expected") && body["Expected"] != m_sequence)
        return jsonResponse(409, json::object());
    if (!m_known.contains(model))
        return jsonResponse(400, json::object());
    if (!adapter.empty())
        return orderAdapter(model, adapter, isLoad);
    if (m_isBusy)
        return jsonResponse(409, json::object());
    if (m_resident.contains(model) == isLoad)
        return jsonResponse(200, json::object());
    ++m_sequence;
    m_isBusy = true;
    std::thread([this, model, isLoad] {
        pause(isLoad ? (m_onDisk.contains(model) ? m_diskSeconds : m_loadSeconds) : 0.02);
        for (;;) {
            {
                const std::lock_guard inner(m_mutex);
                if (isLoad || m_running[model] == 0) {
                    if (isLoad)
                        m_resident[model];
                    else
                        m_resident.erase(model);
                    m_onDisk.insert(model);
                    m_isBusy = false;
                    return;
                }
            }
            pause(0.02);
        }
    }).detach();
    return jsonResponse(202, json::object());
}

Response Server::run(const Request &request)
{
    const auto id = request.header("X-Attempt-Id");
    if (id.empty())
        return { 400, { { "X-Not-Executed", "1" } }, "" };
    auto model = request.header("X-Model");
    {
        const std::lock_guard lock(m_mutex);
        if (m_isEngine) {
            const auto slash = model.find('/');
            const auto adapter = slash == std::string::npos ? "" : model.substr(slash + 1);
            model = model.substr(0, slash);
            const auto held = m_resident.find(model);
            const bool isHeld =
                    held != m_resident.end() && (adapter.empty() || held->second.contains(adapter));
            if (!isHeld)
                return { 421, { { "X-Attempt-Id", id }, { "X-Not-Executed", "1" } }, "" };
        }
        m_runs.push_back({ now(), m_id, request });
        ++m_running[model];
    }
    m_record.line("run at " + m_id + ": " + request.method + " " + request.path + " id " + id
                  + (model.empty() ? "" : " model " + model) + " tenant "
                  + request.header("X-Tenant") + ", body of " + std::to_string(request.body.size())
                  + " bytes");
    pause(workSeconds);
    {
        const std::lock_guard lock(m_mutex);
        --m_running[model];
    }
    Response response;
    if (m_isEngine) {
        response.write = [this, request](int fd) {
            stream(fd, request);
        };
        return response;
    }
    response.headers = { { "X-Attempt-Id", id },
                         { "X-Server-Seal", m_id + ".seal." + id },
                         { "Content-Type", "text/plain" } };
    response.body = "answer to " + id;
    return response;
}

void Server::stream(int fd, const Request &request)
{
    const auto id = request.header("X-Attempt-Id");
    const auto chunk = [&](const std::string &text) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx", text.size());
        sendAll(fd, std::string(size) + "\r\n" + text + "\r\n");
    };
    sendAll(fd,
            "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n"
            "Content-Type: text/event-stream\r\nX-Attempt-Id: "
                    + id + "\r\nX-Server-Seal: " + m_id + ".seal." + id + "\r\n\r\n");
    const bool isDeadly = !deadlyPart.empty()
            && request.header("X-Prompt-Prefix").find(deadlyPart + ":") != std::string::npos;
    const auto born = m_born;
    for (int n = 1; n <= events && m_born == born && !m_isDown; ++n) {
        if (!isDeadly || writesEventBeforeCrash)
            chunk("id: " + std::to_string(n) + "\ndata: tokens\n\n");
        if (isDeadly) {
            pause(0.01);
            crash();
            return;
        }
        pause(eventSeconds);
    }
    if (m_born == born && !m_isDown)
        sendAll(fd, "0\r\n\r\n");
}

void Server::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isDown)
            return;
        m_isDown = true;
    }
    m_record.line("server " + m_id + " crashes, back in "
                  + std::to_string(static_cast<int>(downSeconds * 1000)) + " ms");
    m_http->stop();
    if (onCrash)
        onCrash();
    std::thread([this] {
        pause(downSeconds);
        {
            const std::lock_guard lock(m_mutex);
            // It starts empty; its disk is kept.
            m_born += 100000;
            m_sequence = 0;
            m_beats = 0;
            m_isBusy = false;
            m_resident.clear();
            m_running.clear();
            m_isDown = false;
        }
        m_http->restart();
        publish();
    }).detach();
}

// Gateway

int freePort()
{
    static int next = 20000 + static_cast<int>(std::random_device()() % 11000);
    for (;;) {
        const int port = next++;
        if (next > 31900)
            next = 20000;
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const auto address = addressOf("127.0.0.1", port);
        const auto *it = reinterpret_cast<const sockaddr *>(&address);
        const bool isFree =
                ::bind(tcp, it, sizeof address) == 0 && ::bind(udp, it, sizeof address) == 0;
        ::close(tcp);
        ::close(udp);
        if (isFree)
            return port;
    }
}

Gateway::Gateway(const std::string &root, const std::string &folder, const std::string &name,
                 const std::string &ip, int storePort, bool isFirstStart)
    : m_ip(ip), m_front(freePort()), m_ready(freePort())
{
    const auto control = freePort();
    const auto directory = freePort();
    int inner = freePort();
    freePort();
    freePort();
    const auto path = folder + "/" + name + "-" + std::to_string(m_front) + ".toml";
    const auto at = [&](int port) {
        return "\"" + ip + ":" + std::to_string(port) + "\"\n";
    };
    std::ofstream(path)
            << "NodeName = \"" << name << "\"\nRole = \"gateway\"\nMachineClass = \"front\"\n"
            << "Serves = [\"front\",\"directory\"]\nIp = \"" << ip << "\"\nZone = \"leicester\"\n"
            << "Region = \"midlands\"\nInnerPortRange = [" << inner << "," << inner + 15 << "]\n"
            << "Seeds = []\nFirstStart = " << (isFirstStart ? "true" : "false")
            << "\nInTolerance = false\nDiscovery = \"platform\"\nEntry = \"directory\"\n"
            << "BeatIntervalMs = 1200\n[Zones]\nleicester = \"midlands\"\n[Listen]\nFront = "
            << at(m_front) << "Ready = " << at(m_ready) << "Control = " << at(control)
            << "Directory = " << at(directory)
            << "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n"
            << "LinkMbps = 1000.0\nDiskMb = 0\n[Tolerate]\nMachines = 2\nZones = 0\nRegions = 0\n"
            << "[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStableWindowMs = 3000\nAckMs = 4000\n"
            << "CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigMs = 2000\n"
            << "RollbackSlackMs = 250\nOuterMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\n"
            << "BudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetExtra = 56\nQuotaWindowS = 8\n"
            << "QuotaExcess = 0.1\nQuotaSlack = 17000\nRecoverS = 12\nPassMs = 120\n"
            << "RetryAfterS = 0\nFencingRequired = false\nLeaseMs = 3000\nThawMs = 300\n"
            << "CeilingWindowS = 5\nCeilingExcess = 1.1\nttl_max_s = 5\n[Platform]\nAddress = "
            << "\"127.0.0.1:" << storePort << "\"\nform = \"table\"\nWritesPerS = 400\n"
            << "ReadsPerS = 2000\nTxMs = 3.0\nPartWritesPerS = 300\nRowBytes = 65536\n"
            << "Across = true\nHistoryS = 20\n";
    const auto program = root + "/target/bluebell-gateway";
    const auto setting = "BLUEBELLWALK_CONFIG=" + path;
    const auto logPath = path + ".log";
    const auto parent = ::getpid();
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent || ::chdir(root.c_str()) != 0
        || std::freopen(logPath.c_str(), "w", stdout) == nullptr)
        ::_exit(127);
    const char *const arguments[] = { program.c_str(), nullptr };
    const char *const environment[] = { setting.c_str(), "LANG=C.UTF-8", nullptr };
    ::execve(program.c_str(), const_cast<char *const *>(arguments),
             const_cast<char *const *>(environment));
    ::_exit(127);
}

Gateway::~Gateway()
{
    if (isRunning()) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

bool Gateway::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid > 0;
}

void Gateway::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

int Gateway::connectAndSend(const std::string &bytes) const
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(m_ip, m_front);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        sendAll(fd, bytes);
    return fd;
}

std::string Gateway::exchange(const std::string &bytes, double seconds) const
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(m_ip, m_front);
    std::string out;
    const auto end = now() + seconds;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        sendAll(fd, bytes);
        while (now() < end) {
            setTimeout(fd, std::max(end - now(), 0.01));
            if (!receive(fd, out))
                break;
        }
    }
    ::close(fd);
    return out;
}

bool Gateway::awaitReady(double seconds) const
{
    const auto end = now() + seconds;
    while (now() < end) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = addressOf(m_ip, m_ready);
        std::string out;
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
            sendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            setTimeout(fd, 1);
            while (receive(fd, out)) { }
        }
        ::close(fd);
        if (statusOf(out) == 200)
            return true;
        pause(0.1);
    }
    return false;
}

int statusOf(const std::string &response)
{
    return response.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(response.c_str() + 9) : 0;
}

json siteConfig(std::uint64_t version, const std::vector<Server::Model> &models)
{
    const auto route = [](const char *name, const char *kind, const char *service) {
        return json { { "Name", name },       { "Host", "shop.example" },
                      { "Kind", kind },       { "Prefix", std::string("/") + name + "/" },
                      { "Service", service }, { "TimeoutMs", 12000 },
                      { "MaxAttempts", 1 },   { "LatencyGoalMs", 300 },
                      { "Priority", 1 },      { "Anonymous", false },
                      { "Resumable", false }, { "GapAimMs", 300 } };
    };
    auto order = route("order", "non_idempotent", "plain");
    order["TimeoutMs"] = 1500;
    auto look = route("look", "idempotent", "plain");
    look["TimeoutMs"] = 1500;
    look["MaxAttempts"] = 2;
    json engine = { { "Slots", 64 },
                    { "WeightsMb", 220000 },
                    { "AdapterSlots", 8 },
                    { "LoadsPerS", 5.5 },
                    { "HostMb", 150000 },
                    { "DiskMb", 1300000 },
                    { "Models", json::array() } };
    for (const auto &it : models)
        engine["Models"].push_back({ { "Name", it.name },
                                     { "WeightsMb", 72700 },
                                     { "LoadS", 6 },
                                     { "WarmS", 0.4 },
                                     { "DiskS", 0.52 },
                                     { "Adapters", it.adapters },
                                     { "AdapterMb", 66 } });
    return {
        { "Version", version },
        { "Routes", json::array({ route("chat", "streaming", "engines"), order, look }) },
        { "Services",
          json::array(
                  { { { "Name", "engines" },
                      { "HealthPath", "/healthz" },
                      { "MaxConns", 370 },
                      { "Engine", engine } },
                    { { "Name", "plain" }, { "HealthPath", "/healthz" }, { "MaxConns", 110 } } }) },
        { "Limits",
          { { "HeaderBytes", 16384 },
            { "MaxBodyBytes", 1048576 },
            { "HeaderTimeoutMs", 5000 },
            { "IdleTimeoutMs", 10000 } } },
        { "Tenants",
          json::array({ { { "Name", "leicester" }, { "ApiKeys", { "key-leicester" } } },
                        { { "Name", "derby" }, { "ApiKeys", { "key-derby" } } } }) }
    };
}

std::string requestText(const std::string &line, const std::string &id, const std::string &key,
                        const std::vector<std::string> &headers, const std::string &body)
{
    auto text = line + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
            + "\r\nAuthorization: Bearer " + key + "\r\n";
    for (const auto &it : headers)
        text += it + "\r\n";
    return text + "\r\n" + body;
}

} // namespace lab
