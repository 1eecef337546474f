#pragma once

/// \file
/// Umbrella header of the decision library.
///
/// Its classes are deterministic: they open no sockets, start no threads and read no clock.

// Basic types: identifiers, time and errors.
#include "core/clockwatch.h"
#include "core/digest.h"
#include "core/endpoint.h"
#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

// Configuration and rules.
#include "config/configreplica.h"
#include "rules/parser.h"
#include "rules/ruleset.h"
#include "site/siteindex.h"
#include "site/targetregistry.h"

// Membership, roles and leases.
#include "membership/drain.h"
#include "membership/fleet.h"
#include "membership/leadership.h"
#include "membership/lease.h"
#include "membership/roles.h"
#include "membership/statustiming.h"

// Request handling.
#include "idempotency/nonidempotentcall.h"
#include "quarantine/quarantine.h"
#include "queue/requestqueue.h"
#include "queue/waitdecision.h"
#include "rate/grantholder.h"
#include "rate/ratehome.h"
#include "rate/sharedrate.h"
#include "rate/shares.h"
#include "routing/entryselector.h"
#include "routing/router.h"
#include "routing/targetselector.h"
#include "streams/eventsplitter.h"
#include "streams/streamassembler.h"

// Placement of models and adapters.
#include "placement/demandtracker.h"
#include "placement/enginetracker.h"
#include "placement/ledger.h"
#include "placement/loadplanner.h"
#include "placement/modeldemand.h"
#include "placement/placementorder.h"
#include "placement/placementupdate.h"
#include "placement/planpace.h"
#include "placement/swapplanner.h"
