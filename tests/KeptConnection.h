#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotweir::test {

/** A caller's connection that is used for one request after another until the other side closes it. */
class KeptConnection
{
public:
    /** How one request went. */
    struct Outcome {
        bool answered = false;
        /** From the last byte sent to the end of the answer or of the connection. */
        std::chrono::milliseconds took{0};
    };

    /** Connects to a port on loopback. */
    explicit KeptConnection(std::uint16_t port);
    ~KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    /** Sends a GET and reads its answer, which must state its length. */
    Outcome ask(const std::string &target, std::chrono::milliseconds patience);

    /** @return false once the other side closed, or said that it would */
    bool isOpen() const;

private:
    int socket = -1;
};

} // namespace bergamotweir::test
