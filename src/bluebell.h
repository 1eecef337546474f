#pragma once

/// \file
/// All decisions of bluebellwalk: deterministic objects without sockets, threads or a clock.

// Names, time and errors.
#include "core/digest.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

// What operators ask for.
#include "config/configreplica.h"
#include "rules/parser.h"
#include "rules/ruleset.h"

// Who decides.
#include "membership/drain.h"
#include "membership/lease.h"
#include "membership/roles.h"

// Requests.
#include "orders/orderflow.h"
#include "queue/requestqueue.h"
#include "rate/grantholder.h"
#include "rate/ratehome.h"
#include "rate/shares.h"
#include "routing/entryadvisor.h"
#include "routing/router.h"
#include "streams/streamassembler.h"

// Loads and memory.
#include "placement/ledger.h"
#include "placement/planner.h"
