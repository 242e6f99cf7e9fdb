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
constexpr std::size_t MaxRequestsInFlight = 32;
/** Bytes that are read behind that many requests, so that a caller that disconnects is noticed; then reading stops. */
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;
constexpr std::size_t ReadBufferBytes = 16UL * 1024;
/** How long a connection whose sending side was closed here waits for the caller to close it too. */
constexpr std::chrono::seconds CallerCloseTimeout{2};
constexpr const char *ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

/** @return whether the method is safe: requests have no effects whose order could matter (RFC 9110, 9.2.1) */
bool isSafe(const std::string &method)
{
    static constexpr std::array<std::string_view, 3> SafeMethods{"GET", "HEAD", "OPTIONS"};
    return std::find(SafeMethods.begin(), SafeMethods.end(), method) != SafeMethods.end();
}

HttpAnswer tooLargeAnswer(int status, const std::string &what)
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
    , lastActivityAt(BootClock::now())
{
}

PipelineConnection::~PipelineConnection()
{
    this->disconnect(false);
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
        this->disconnect(true);
        return;
    }
    this->parse();
    this->process();
}

/** Updates the events that the socket is watched for to those that can be handled now. */
void PipelineConnection::watch()
{
    if (this->isClosed) {
        return;
    }
    const loop::Readiness wanted{.readable = this->receiveBuffer.size() < MaxUnparsedBytes,
                                 .writable = !this->sendBuffer.empty()};
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
    std::array<char, ReadBufferBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t count = this->stream.recv(bytes.data(), bytes.size());
    if (count < 0) {
        return wouldBlock();
    }
    if (count == 0) {
        return false;
    }
    this->lastActivityAt = BootClock::now();
    if (!this->isClosing) {
        this->receiveBuffer.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return true;
}

/** Parses received bytes into exchanges, up to the maximum number in flight. */
void PipelineConnection::parse()
{
    std::size_t done = 0;
    while (!this->isClosing && done < this->receiveBuffer.size() && this->exchanges.size() < MaxRequestsInFlight) {
        done += this->parser.read(std::string_view(this->receiveBuffer).substr(done));
        if (this->parser.stage() < ParseStage::Complete) {
            break;
        }
        this->enqueueParsed();
    }
    this->receiveBuffer.erase(0, this->isClosing ? this->receiveBuffer.size() : done);
    this->sendContinue();
}

void PipelineConnection::enqueueParsed()
{
    switch (this->parser.stage()) {
    case ParseStage::HeaderTooLarge:
        this->enqueueRefusal(tooLargeAnswer(431, "header"), true);
        return;
    case ParseStage::BodyRefused:
        this->enqueueRefusal(tooLargeAnswer(413, "body"), true);
        return;
    case ParseStage::BodyTooLarge:
        this->enqueueRefusal(tooLargeAnswer(413, "body"),
                             !this->parser.keepsConnection() || this->isReadingLastRequest);
        this->parser.take();
        return;
    case ParseStage::Complete: {
        const bool isLast = !this->parser.keepsConnection() || this->isReadingLastRequest;
        this->enqueue(this->parser.take(), isLast);
        return;
    }
    default:
        this->enqueueRefusal(problem(400, "bad request", "The bytes are no HTTP request.", RequestRan::No), true);
        return;
    }
}

void PipelineConnection::enqueue(HttpRequest request, bool isLast)
{
    request.peer = this->peer;
    this->isContinueSent = false;
    this->exchanges.push_back(std::make_shared<PipelineExchange>(this->weak_from_this(), std::move(request)));
    this->exchanges.back()->isLast = isLast;
    this->isClosing = isLast;
}

/** Queues an answer of the server's own behind the answers to earlier requests. */
void PipelineConnection::enqueueRefusal(HttpAnswer answer, bool isLast)
{
    this->enqueue({}, isLast);
    this->exchanges.back()->state = PipelineExchange::State::Answered;
    this->exchanges.back()->pendingAnswer = std::move(answer);
}

bool PipelineConnection::canHandOver(std::size_t index) const
{
    const auto isUnsafe = [](const std::shared_ptr<PipelineExchange> &exchange) {
        return !isSafe(exchange->request().method);
    };
    const auto last = this->exchanges.begin() + static_cast<std::ptrdiff_t>(index);
    return index == 0 || std::none_of(this->exchanges.begin(), last + 1, isUnsafe);
}

/** Passes the requests that may be processed to the handler. @return whether there were any */
bool PipelineConnection::handOverReady()
{
    bool any = false;
    // Indexed because a handler may answer at once, remove the last exchanges, or close the connection.
    for (std::size_t index = 0; index < this->exchanges.size() && this->canHandOver(index); ++index) {
        const std::shared_ptr<PipelineExchange> exchange = this->exchanges[index];
        if (exchange->state != PipelineExchange::State::Waiting) {
            continue;
        }
        exchange->state = PipelineExchange::State::HandedOver;
        exchange->wasHandedOver = true;
        ++this->host.inProgress;
        this->host.handler(exchange);
        any = true;
    }
    return any;
}

void PipelineConnection::process()
{
    if (this->isProcessing || this->isClosed) {
        return;
    }
    const std::shared_ptr<PipelineConnection> self = this->shared_from_this();
    this->isProcessing = true;
    for (bool hasProgress = true; hasProgress && !this->isClosed;) {
        const bool anyHandedOver = this->handOverReady();
        const bool anyWritten = !this->isClosed && this->writeReadyAnswers();
        if (anyWritten && !this->isClosed) {
            this->parse();
        }
        hasProgress = anyHandedOver || anyWritten;
    }
    this->isProcessing = false;
    this->watch();
}

/** Serializes the answers that are next in order and sends what the socket accepts. @return whether there were any */
bool PipelineConnection::writeReadyAnswers()
{
    bool any = false;
    while (!this->exchanges.empty() && this->exchanges.front()->state == PipelineExchange::State::Answered) {
        const std::shared_ptr<PipelineExchange> exchange = std::move(this->exchanges.front());
        this->exchanges.pop_front();
        const bool isHead = exchange->request().method == "HEAD";
        this->sendBuffer +=
            answerText(exchange->pendingAnswer, {.isHead = isHead, .closesConnection = exchange->isLast});
        this->unsentAnswers += exchange->wasHandedOver ? 1 : 0;
        any = true;
    }
    if (any && !this->flush()) {
        this->disconnect(true);
    }
    return any;
}

/** Answers "Expect: 100-continue" after all earlier requests have been answered. */
void PipelineConnection::sendContinue()
{
    if (this->isContinueSent || !this->exchanges.empty() || !this->parser.expectsContinue()) {
        return;
    }
    this->isContinueSent = true;
    this->sendBuffer += ContinueAnswer;
    if (!this->flush()) {
        this->disconnect(true);
    }
}

/** Sends what the socket accepts. @return false if the caller has disconnected */
bool PipelineConnection::flush()
{
    while (!this->sendBuffer.empty()) {
        const ssize_t count = this->stream.send(this->sendBuffer.data(), this->sendBuffer.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return wouldBlock();
        }
        this->sendBuffer.erase(0, static_cast<std::size_t>(count));
        this->lastActivityAt = BootClock::now();
    }
    this->host.inProgress -= std::exchange(this->unsentAnswers, 0);
    if (this->isClosing && this->exchanges.empty()) {
        this->closeSendingSide();
    }
    return true;
}

/**
 * Closes the sending side and continues to read until the caller closes too.
 * Guards against the loss of answers that were sent: closing a socket with unread bytes resets the connection, and
 * the caller loses what it has not read yet.
 */
void PipelineConnection::closeSendingSide()
{
    if (!this->isSendingSideClosed) {
        this->isSendingSideClosed = true;
        this->isClosing = true;
        this->lastActivityAt = BootClock::now();
        this->stream.close_writer();
    }
}

void PipelineConnection::drain()
{
    if (this->isClosing || this->isClosed) {
        return;
    }
    // Callers assume that requests behind an answer that closes its connection were not read, and send them again.
    while (!this->exchanges.empty() && this->exchanges.back()->state == PipelineExchange::State::Waiting) {
        this->exchanges.pop_back();
    }
    if (!this->exchanges.empty()) {
        this->exchanges.back()->isLast = true;
        this->isClosing = true;
        this->receiveBuffer.clear();
        return;
    }
    if (this->parser.stage() != ParseStage::Idle) {
        this->isReadingLastRequest = true;
        return;
    }
    this->isClosing = true;
    this->receiveBuffer.clear();
    if (!this->flush()) {
        this->disconnect(true);
    }
}

void PipelineConnection::closeIfIdle(BootTime now)
{
    const auto idle = now - this->lastActivityAt;
    if (this->isSendingSideClosed) {
        if (idle > CallerCloseTimeout) {
            this->disconnect(false);
        }
        return;
    }
    if (idle <= this->host.settings.idleTimeout) {
        return;
    }
    if (!this->sendBuffer.empty()) {
        this->disconnect(true);
    } else if (this->exchanges.empty()) {
        this->closeSendingSide();
    }
}

void PipelineConnection::disconnect(bool runAbandonedTasks)
{
    if (std::exchange(this->isClosed, true)) {
        return;
    }
    this->host.loop.unwatch(this->stream.get_handle());
    this->stream.close();
    this->host.inProgress -= std::exchange(this->unsentAnswers, 0);
    const std::deque<std::shared_ptr<PipelineExchange>> open = std::exchange(this->exchanges, {});
    for (const std::shared_ptr<PipelineExchange> &exchange : open) {
        this->host.inProgress -= exchange->wasHandedOver ? 1 : 0;
        exchange->abandon(runAbandonedTasks);
    }
    this->host.onClosed(this);
}

} // namespace bergamotweir::net
