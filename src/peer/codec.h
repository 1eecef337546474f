#pragma once

#include "peer/generated/peer.capnp.h"
#include "peer/messages.h"

/// \file
/// Messages to and from Cap'n Proto.

namespace bluebell::detail {

void encode(const PeerQuestion &question, wire::Question::Builder out);
void encode(const PeerAnswer &answer, wire::Answer::Builder out);

/// \returns the question, or InvalidArgument when it holds something unknown
[[nodiscard]] Result<PeerQuestion> decode(wire::Question::Reader in);
/// \returns the answer; an unknown one becomes an Error
[[nodiscard]] PeerAnswer decode(wire::Answer::Reader in);

} // namespace bluebell::detail
