#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotweir::test {

/** A TCP connection to a server, for tests that send and read bytes of their own. */
class RawConnection
{
public:
    /** Connects; fails the test if that is not possible. @param ip loopback address */
    RawConnection(const std::string &ip, std::uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    /** Sends all bytes; fails the test if that is not possible. */
    void send(const std::string &bytes);

    /** @return all bytes that arrive until the server closes the connection or the time limit passes */
    std::string receiveUntilClosed(std::chrono::milliseconds limit);

private:
    int socket;
};

} // namespace bergamotweir::test
