#include "cases.h"

namespace lab {

int play(const std::string &name, const Setup &setup)
{
    if (name == "smuggling")
        return playSmuggling(setup);
    if (name == "replacement")
        return playReplacement(setup);
    if (name == "tenants")
        return playTenants(setup);
    if (name == "waiting")
        return playWaiting(setup);
    if (name == "deadly")
        return playDeadly(setup);
    if (name == "soundpart")
        return playSoundPart(setup);
    return 2;
}

} // namespace lab
