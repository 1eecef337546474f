#include "core/time.h"

#include <ctime>

namespace bluebell {

BootClock::time_point BootClock::now() noexcept
{
    timespec it {};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return time_point(std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec));
}

} // namespace bluebell
