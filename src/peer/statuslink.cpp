#include "peer/statuslink.h"

#include "core/log.h"
#include "peer/statuscodec.h"

#include <utility>

namespace bluebell {

StatusLink::StatusLink(const boost::asio::any_io_executor &executor, Handler handler)
    : m_socket(executor,
               [handler = std::move(handler)](std::string_view bytes, const std::string &from) {
                   if (const auto status = decodeStatus(bytes))
                       handler(status.value());
                   else
                       log::warning("malformed status received from a peer",
                                    { { "peer", from }, { "cause", status.error().message } });
               })
{
}

void StatusLink::send(const std::vector<Endpoint> &peers, const DaemonStatus &status)
{
    if (peers.empty())
        return;
    const auto bytes = encode(status);
    for (const auto &it : peers)
        m_socket.send(it, bytes);
}

} // namespace bluebell
