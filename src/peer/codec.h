#pragma once

#include "peer/generated/peer.capnp.h"
#include "peer/messages.h"

/// \file
/// Conversion of the peer messages to and from Cap'n Proto.

namespace bluebell::detail {

void encode(const PeerQuestion &question, wire::Question::Builder out);
void encode(const PeerAnswer &answer, wire::Answer::Builder out);

/// \returns the request, or InvalidArgument when its type is unknown
[[nodiscard]] Result<PeerQuestion> decode(wire::Question::Reader in);
/// \returns the response; one of an unknown type becomes an Error
[[nodiscard]] PeerAnswer decode(wire::Answer::Reader in);

} // namespace bluebell::detail
