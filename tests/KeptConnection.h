#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotweir::test {

/** A caller's keep-alive connection: used for one request after another until the server closes it. */
class KeptConnection
{
public:
    /** Outcome of one request. */
    struct Outcome {
        bool answered = false;
        /** Time from the last byte sent to the end of the answer or of the connection. */
        std::chrono::milliseconds elapsedTime{0};
    };

    /** Connects to a port on loopback. */
    explicit KeptConnection(std::uint16_t port);
    ~KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    /** Sends a GET and reads its answer, which must state its length. */
    Outcome ask(const std::string &target, std::chrono::milliseconds timeLimit);

    /** @return false once the server has closed the connection or announced that it will */
    bool isOpen() const;

private:
    int socket = -1;
};

} // namespace bergamotweir::test
