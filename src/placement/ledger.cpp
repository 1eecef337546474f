#include "placement/ledger.h"

#include <algorithm>

namespace bluebell {

std::string toString(const ReplicaKey &key)
{
    if (key.adapter.isEmpty())
        return key.model.value();
    return key.model.value() + ':' + key.adapter.value();
}

ReplicaKey parseReplicaKey(std::string_view text)
{
    const auto colon = std::min(text.find(':'), text.size());
    const auto adapter = text.substr(std::min(colon + 1, text.size()));
    return { ModelId(std::string(text.substr(0, colon))), AdapterId(std::string(adapter)) };
}

} // namespace bluebell
