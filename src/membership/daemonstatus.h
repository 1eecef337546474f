#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "membership/roles.h"
#include "placement/modeldemand.h"
#include "placement/placementnews.h"
#include "site/siteconfig.h"

#include <vector>

/// \file
/// What daemons tell each other several times a second.

namespace bluebell {

/// What one daemon has admitted of an organisation's rate.
struct RateCount
{
    OrganisationId organisation;
    /// Tokens admitted since the daemon's start.
    Tokens admitted = 0;
    /// The daemon's estimate of the level of the organisation's bucket.
    Tokens level = 0;
};

/// The state of one daemon, whole. A lost one is made up for by the next.
struct DaemonStatus
{
    VmId vm;
    IncarnationId incarnation;
    Duration uptime {};
    /// Whether callers may be sent there.
    bool isReady = false;
    SiteVersion configVersion = 0;
    /// Newest version of the targets' entries that the daemon has read.
    RowVersion registryVersion = 0;
    /// How long ago the platform's store last answered the daemon.
    Duration storeSilence {};
    /// Fencing number while the daemon holds the role that gives orders; else 0.
    Epoch leaderEpoch = 0;
    /// Whether the demand is told, and what is under way by model; the holder of the role needs it.
    bool tellsDemand = false;
    std::vector<ModelDemand> demand;
    /// Without the demand, one entry a target with an empty model.
    std::vector<ModelInFlight> inFlight;
    std::vector<RateCount> rates;
    /// What engines hold; only told by the holder of the role.
    PlacementNews placement;
    /// When models that are being loaded can serve; only told by the holder of the role.
    std::vector<LoadEstimate> estimates;
};

} // namespace bluebell
