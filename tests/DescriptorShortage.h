#pragma once

#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace bergamotweir::test {

/** Leaves this process no descriptor to open as long as it exists. */
class DescriptorShortage
{
public:
    DescriptorShortage()
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &this->before) == 0);
        // The lowest free descriptor: each one opened from now on would get this number or a higher one.
        const int lowestFree = dup(STDOUT_FILENO);
        REQUIRE(lowestFree >= 0);
        close(lowestFree);
        const rlimit shortage{.rlim_cur = static_cast<rlim_t>(lowestFree), .rlim_max = this->before.rlim_max};
        REQUIRE(setrlimit(RLIMIT_NOFILE, &shortage) == 0);
    }

    ~DescriptorShortage()
    {
        setrlimit(RLIMIT_NOFILE, &this->before);
    }

    DescriptorShortage(const DescriptorShortage &) = delete;
    DescriptorShortage &operator=(const DescriptorShortage &) = delete;

private:
    rlimit before{};
};

} // namespace bergamotweir::test
