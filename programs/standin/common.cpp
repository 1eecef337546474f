#include "standin/common.h"

#include <nlohmann/json.hpp>

namespace bluebell::standin {

HttpResponse jsonErrorResponse(unsigned status, std::string_view name)
{
    return jsonResponse(status, { { "error", name } });
}

HttpResponse jsonResponse(unsigned status, const nlohmann::json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

} // namespace bluebell::standin
