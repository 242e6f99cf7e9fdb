#include "net/PipelineConnection.h"

#include "net/AnswerText.h"
#include "net/Problem.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

namespace bergamotweir::net {

namespace {

/** Maximum number of requests in flight on one connection; callers that pipeline send only a few ahead. */
constexpr std::size_t MostUnderWay = 32;
/** Bytes that are read behind that many requests, so that a caller that disconnects is noticed; then reading stops. */
constexpr std::size_t MostUnread = 64UL * 1024;
constexpr std::size_t ReadBytes = 16UL * 1024;
/** How long a connection whose sending side was closed here waits for the caller to close it too. */
constexpr std::chrono::seconds DrainTime{2};
constexpr const char *ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

/** @return whether the method is safe: requests have no effects whose order could matter (RFC 9110, 9.2.1) */
bool isSafe(const std::string &method)
{
    static constexpr std::array<std::string_view, 3> Safe{"GET", "HEAD", "OPTIONS"};
    return std::find(Safe.begin(), Safe.end(), method) != Safe.end();
}

HttpAnswer tooLarge(int status, const std::string &what)
{
    return problem(status, what + " too large", "The " + what + " is too large.", RequestRan::No);
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

PipelineConnection::PipelineConnection(PipelineHost &host, const ACE_SOCK_Stream &stream, std::string peer)
    : host(host)
    , stream(stream)
    , peer(std::move(peer))
    , parser(host.settings)
    , lastMove(BootClock::now())
{
}

PipelineConnection::~PipelineConnection()
{
    this->end(false);
}

void PipelineConnection::start()
{
    this->watch();
}

void PipelineConnection::onReady(loop::Readiness ready)
{
    const std::shared_ptr<PipelineConnection> self = this->shared_from_this();
    const bool sent = !ready.writable || this->flush();
    if (!sent || (ready.readable && !this->readSocket())) {
        this->end(true);
        return;
    }
    this->parse();
    this->pump();
}

/** Updates the events that the socket is watched for to those that can be handled now. */
void PipelineConnection::watch()
{
    if (this->over) {
        return;
    }
    const loop::Readiness wanted{.readable = this->unread.size() < MostUnread, .writable = !this->unsent.empty()};
    if (wanted.readable == this->watched.readable && wanted.writable == this->watched.writable) {
        return;
    }
    this->watched = wanted;
    if (!wanted.readable && !wanted.writable) {
        this->host.loop.unwatch(this->stream.get_handle());
        return;
    }
    this->host.loop.watch(this->stream.get_handle(), wanted, [this](loop::Readiness ready) {
        this->onReady(ready);
    });
}

/** @return false if the caller has disconnected; one that closes only its sending side cannot be told from that */
bool PipelineConnection::readSocket()
{
    std::array<char, ReadBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t count = this->stream.recv(bytes.data(), bytes.size());
    if (count < 0) {
        return wouldBlock();
    }
    if (count == 0) {
        return false;
    }
    this->lastMove = BootClock::now();
    if (!this->closing) {
        this->unread.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return true;
}

/** Parses received bytes into exchanges, up to the maximum number in flight. */
void PipelineConnection::parse()
{
    std::size_t done = 0;
    while (!this->closing && done < this->unread.size() && this->exchanges.size() < MostUnderWay) {
        done += this->parser.read(std::string_view(this->unread).substr(done));
        if (this->parser.stage() < ParseStage::Whole) {
            break;
        }
        this->takeParsed();
    }
    this->unread.erase(0, this->closing ? this->unread.size() : done);
    this->continueBody();
}

void PipelineConnection::takeParsed()
{
    switch (this->parser.stage()) {
    case ParseStage::HeaderTooLarge:
        this->refuse(tooLarge(431, "header"), true);
        return;
    case ParseStage::BodyRefused:
        this->refuse(tooLarge(413, "body"), true);
        return;
    case ParseStage::BodyTooLarge:
        this->refuse(tooLarge(413, "body"), !this->parser.keepsConnection() || this->takesOneMore);
        this->parser.take();
        return;
    case ParseStage::Whole: {
        const bool last = !this->parser.keepsConnection() || this->takesOneMore;
        this->take(this->parser.take(), last);
        return;
    }
    default:
        this->refuse(problem(400, "bad request", "The bytes are no HTTP request.", RequestRan::No), true);
        return;
    }
}

void PipelineConnection::take(HttpRequest request, bool last)
{
    request.peer = this->peer;
    this->continued = false;
    this->exchanges.push_back(std::make_shared<PipelineExchange>(this->weak_from_this(), std::move(request)));
    this->exchanges.back()->last = last;
    this->closing = last;
}

/** Queues an answer of the server's own behind the answers to earlier requests. */
void PipelineConnection::refuse(HttpAnswer answer, bool last)
{
    this->take({}, last);
    this->exchanges.back()->state = PipelineExchange::State::Answered;
    this->exchanges.back()->outgoing = std::move(answer);
}

bool PipelineConnection::mayHandOver(std::size_t index) const
{
    const auto isUnsafe = [](const std::shared_ptr<PipelineExchange> &exchange) {
        return !isSafe(exchange->request().method);
    };
    const auto last = this->exchanges.begin() + static_cast<std::ptrdiff_t>(index);
    return index == 0 || std::none_of(this->exchanges.begin(), last + 1, isUnsafe);
}

/** Passes the requests that may be processed to the handler. @return whether there were any */
bool PipelineConnection::handOverDue()
{
    bool any = false;
    // Indexed because a handler may answer at once, remove the last exchanges, or close the connection.
    for (std::size_t index = 0; index < this->exchanges.size() && this->mayHandOver(index); ++index) {
        const std::shared_ptr<PipelineExchange> exchange = this->exchanges[index];
        if (exchange->state != PipelineExchange::State::Waiting) {
            continue;
        }
        exchange->state = PipelineExchange::State::HandedOver;
        exchange->handedOver = true;
        ++this->host.inProgress;
        this->host.handler(exchange);
        any = true;
    }
    return any;
}

void PipelineConnection::pump()
{
    if (this->pumping || this->over) {
        return;
    }
    const std::shared_ptr<PipelineConnection> self = this->shared_from_this();
    this->pumping = true;
    for (bool moved = true; moved && !this->over;) {
        const bool handed = this->handOverDue();
        const bool wrote = !this->over && this->writeDue();
        if (wrote && !this->over) {
            this->parse();
        }
        moved = handed || wrote;
    }
    this->pumping = false;
    this->watch();
}

/** Serializes the answers that are next in order and sends what the socket accepts. @return whether there were any */
bool PipelineConnection::writeDue()
{
    bool any = false;
    while (!this->exchanges.empty() && this->exchanges.front()->state == PipelineExchange::State::Answered) {
        const std::shared_ptr<PipelineExchange> exchange = std::move(this->exchanges.front());
        this->exchanges.pop_front();
        const bool head = exchange->request().method == "HEAD";
        this->unsent += answerText(exchange->outgoing, {.head = head, .closes = exchange->last});
        this->answersUnsent += exchange->handedOver ? 1 : 0;
        any = true;
    }
    if (any && !this->flush()) {
        this->end(true);
    }
    return any;
}

/** Answers "Expect: 100-continue" after all earlier requests have been answered. */
void PipelineConnection::continueBody()
{
    if (this->continued || !this->exchanges.empty() || !this->parser.expectsContinue()) {
        return;
    }
    this->continued = true;
    this->unsent += ContinueAnswer;
    if (!this->flush()) {
        this->end(true);
    }
}

/** Sends what the socket accepts. @return false if the caller has disconnected */
bool PipelineConnection::flush()
{
    while (!this->unsent.empty()) {
        const ssize_t count = this->stream.send(this->unsent.data(), this->unsent.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return wouldBlock();
        }
        this->unsent.erase(0, static_cast<std::size_t>(count));
        this->lastMove = BootClock::now();
    }
    this->host.inProgress -= std::exchange(this->answersUnsent, 0);
    if (this->closing && this->exchanges.empty()) {
        this->finishSending();
    }
    return true;
}

/**
 * Closes the sending side and continues to read until the caller closes too.
 * Guards against the loss of answers that were sent: closing a socket with unread bytes resets the connection, and
 * the caller loses what it has not read yet.
 */
void PipelineConnection::finishSending()
{
    if (!this->draining) {
        this->draining = true;
        this->closing = true;
        this->lastMove = BootClock::now();
        this->stream.close_writer();
    }
}

void PipelineConnection::stopTaking()
{
    if (this->closing || this->over) {
        return;
    }
    // Callers assume that requests behind an answer that closes its connection were not read, and send them again.
    while (!this->exchanges.empty() && this->exchanges.back()->state == PipelineExchange::State::Waiting) {
        this->exchanges.pop_back();
    }
    if (!this->exchanges.empty()) {
        this->exchanges.back()->last = true;
        this->closing = true;
        this->unread.clear();
        return;
    }
    if (this->parser.stage() != ParseStage::Idle) {
        this->takesOneMore = true;
        return;
    }
    this->finishSending();
}

void PipelineConnection::sweep(BootTime now)
{
    const auto idle = now - this->lastMove;
    if (this->draining) {
        if (idle > DrainTime) {
            this->end(false);
        }
        return;
    }
    if (idle <= this->host.settings.idleTimeout) {
        return;
    }
    if (!this->unsent.empty()) {
        this->end(true);
    } else if (this->exchanges.empty()) {
        this->finishSending();
    }
}

void PipelineConnection::end(bool tell)
{
    if (std::exchange(this->over, true)) {
        return;
    }
    this->host.loop.unwatch(this->stream.get_handle());
    this->stream.close();
    this->host.inProgress -= std::exchange(this->answersUnsent, 0);
    const std::deque<std::shared_ptr<PipelineExchange>> open = std::exchange(this->exchanges, {});
    for (const std::shared_ptr<PipelineExchange> &exchange : open) {
        this->host.inProgress -= exchange->handedOver ? 1 : 0;
        exchange->abandon(tell);
    }
    this->host.ended(this);
}

} // namespace bergamotweir::net
