#include "site/responseverdict.h"

#include "core/result.h"

namespace bluebell {

ResponseVerdict judgeResponse(const ResponseHead &head, const Route &route)
{
    // Targets may omit the id when they refuse; the connection has carried no other request.
    if (head.isNotRun && !head.namesOtherAttempt)
        return ResponseVerdict::NotRun;
    const bool isTheTargets = head.matchesAttempt && !head.isEncoded;
    if (!isTheTargets || (head.isSuccess() && !head.isSigned))
        return ResponseVerdict::Untrusted;
    // A caller whose request may run again loses nothing by the target's own status.
    if (promisesNotRun(head.status) && !route.isRetryable())
        return ResponseVerdict::Withhold;
    return ResponseVerdict::PassOn;
}

} // namespace bluebell
