#include "cases.h"

#include <cstdio>
#include <memory>

namespace lab {
namespace {

std::string chunked(const std::string &body)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx", body.size());
    return std::string(size) + "\r\n" + body + "\r\n0\r\n\r\n";
}

} // namespace

int playSmuggling(const Setup &setup)
{
    // Lives as long as the program, as the stand-ins' threads do.
    auto &store = *new Store;
    store.put("op", "config", siteConfig(4, {}));
    std::vector<Server *> servers;
    for (const auto *id : { "i-1", "i-2" }) {
        servers.push_back(new Server(store, setup.record, id, "plain", 6));
        servers.back()->start();
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const auto *name : { "front-leicester-1", "front-leicester-2", "front-leicester-3" })
        gateways.push_back(std::make_unique<Gateway>(setup.root, setup.folder, name, "127.0.0.1",
                                                     store.open(name), true));
    for (const auto &it : gateways)
        if (!it->awaitReady(15))
            return 2;
    pause(2);

    // The body of each request is the text of another one. Its id is that of no request.
    const std::vector<std::string> codings = setup.hasTrouble
            ? std::vector<std::string> { "gzip", "identity", "chunked, identity" }
            : std::vector<std::string> { "chunked", "chunked", "chunked" };
    int number = 0;
    for (const auto &gateway : gateways) {
        for (const auto &coding : codings) {
            const auto id = std::to_string(++number);
            const auto body = requestText("POST /order/stylus", "body-" + id, "key-leicester",
                                          { "Content-Length: 9" }, "shelf 114");
            const auto text = requestText("POST /look/shelf", "sent-" + id, "key-leicester",
                                          { "X-Deadline-Ms: 1500", "Transfer-Encoding: " + coding },
                                          setup.hasTrouble ? body : chunked(body));
            setup.record.line("client sends one request, id sent-" + id + ", Transfer-Encoding: "
                              + coding + ", body of " + std::to_string(body.size())
                              + " bytes, which holds the text 'X-Attempt-Id: body-" + id + "'");
            const auto answer = gateway->exchange(text, 2);
            std::string statuses;
            for (auto at = answer.find("HTTP/1.1 "); at != std::string::npos;
                 at = answer.find("HTTP/1.1 ", at + 1))
                statuses += " " + answer.substr(at + 9, 3);
            setup.record.line("client gets the answers" + statuses);
        }
    }
    pause(1);

    int smuggled = 0;
    int sound = 0;
    for (auto *server : servers)
        for (const auto &it : server->runs()) {
            const auto id = it.request.header("X-Attempt-Id");
            const bool isSent = id.rfind("sent-", 0) == 0;
            sound += isSent ? 1 : 0;
            smuggled += isSent ? 0 : 1;
            if (!isSent)
                setup.record.line("UNASKED: server " + it.server + " has run " + it.request.method
                                  + " " + it.request.path + " with id " + id
                                  + ", which no client sent, for tenant "
                                  + it.request.header("X-Tenant"));
        }
    setup.record.line("requests sent " + std::to_string(number) + ", run " + std::to_string(sound)
                      + ", smuggled inside another and run " + std::to_string(smuggled));
    if (!setup.hasTrouble && sound == 0)
        return 2;
    return smuggled > 0 ? 1 : 0;
}

} // namespace lab
