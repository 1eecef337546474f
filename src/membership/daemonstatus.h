#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "membership/roles.h"
#include "placement/modeldemand.h"
#include "placement/placementupdate.h"
#include "quarantine/crashreport.h"
#include "site/evacuations.h"
#include "site/siteconfig.h"

#include <vector>

/// \file
/// The status message that daemons exchange several times a second.

namespace bluebell {

/// How much of an organisation's rate limit one daemon has used.
struct RateUsage
{
    OrganisationId organisation;
    /// Tokens admitted since the daemon started.
    Tokens admitted = 0;
    /// The daemon's estimate of the tokens left in the organisation's bucket.
    Tokens level = 0;
    /// In a report to a relay: the part of `admitted` that a relay has confirmed to have counted.
    Tokens acknowledged = 0;
};

/// The complete state of one daemon. Each status replaces the one before, so a lost one needs no
/// retransmission.
struct DaemonStatus
{
    VmId vm;
    IncarnationId incarnation;
    Duration uptime {};
    /// Whether callers may send requests to this daemon.
    bool isReady = false;
    SiteVersion configVersion = 0;
    /// Newest version of the target table that the daemon has read.
    RowVersion registryVersion = 0;
    /// Time since the platform's store last replied to the daemon.
    Duration timeSinceStoreReply {};
    /// Fencing number while the daemon is the leader, else 0.
    Epoch leaderEpoch = 0;
    /// Whether `demand` is filled and `inFlight` is broken down by model, as the leader needs it.
    bool includesDemand = false;
    std::vector<ModelDemand> demand;
    /// One entry per target with an empty model unless `includesDemand` is set.
    std::vector<ModelInFlight> inFlight;
    std::vector<RateUsage> rates;
    /// Changes of what engines hold. Only the leader sends them.
    PlacementUpdate placement;
    /// When models that are being loaded will be ready. Only the leader sends them.
    std::vector<LoadEstimate> estimates;
    QuarantineUpdate quarantine;
    EvacuationUpdate evacuations;
};

/// The leader as a daemon knows it.
struct LeaderInfo
{
    VmId vm;
    IncarnationId incarnation;
    Epoch epoch = 0;
    /// Time since the leader's last status.
    Duration age {};
};

} // namespace bluebell
