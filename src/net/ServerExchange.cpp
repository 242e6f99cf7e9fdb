#include "net/ServerExchange.h"

#include <microhttpd.h>

#include <cassert>
#include <utility>

namespace bergamotweir::net {

void ServerExchange::answer(HttpAnswer answer)
{
    if (this->state == State::Abandoned) {
        return;
    }
    assert(this->state == State::HandedOver);
    this->state = State::Answered;
    this->outgoing = std::move(answer);
    this->abandonedTask = nullptr;
    this->wake();
}

bool ServerExchange::isAbandoned() const
{
    return this->state == State::Abandoned;
}

void ServerExchange::handOver(ExchangeHost &to, const std::function<void(std::shared_ptr<Exchange>)> &handler)
{
    assert(this->state == State::Receiving);
    this->state = State::HandedOver;
    this->host = &to;
    this->counted = true;
    ++to.inProgress;
    handler(this->self.lock());
}

void ServerExchange::abandon()
{
    if (this->state == State::Receiving) {
        // libmicrohttpd finds the connection closed when it tries to read the body.
        this->wake();
        return;
    }
    if (this->state != State::HandedOver) {
        return;
    }
    this->state = State::Abandoned;
    this->wake();
    const std::function<void()> task = std::move(this->abandonedTask);
    if (task) {
        task();
    }
}

void ServerExchange::detach()
{
    if (this->state == State::HandedOver) {
        this->state = State::Abandoned;
        this->abandonedTask = nullptr;
    }
    this->wake();
    this->endBody(false);
    if (std::exchange(this->counted, false)) {
        --this->host->inProgress;
    }
    this->host = nullptr;
    this->connection = nullptr;
}

const HttpRequest &ServerExchange::head() const
{
    return this->received;
}

std::size_t ServerExchange::length() const
{
    return this->expectedBytes;
}

void ServerExchange::awaitBody(ExchangeHost &to, std::size_t length)
{
    this->host = &to;
    this->expectedBytes = length;
    this->bodyHeld = true;
}

void ServerExchange::proceed()
{
    this->bodyHeld = false;
    this->wake();
}

void ServerExchange::refuse(HttpAnswer answer)
{
    if (this->state != State::Receiving) {
        return;
    }
    this->bodyHeld = false;
    this->state = State::Answered;
    this->outgoing = std::move(answer);
    this->wake();
}

void ServerExchange::endBody(bool whole)
{
    const std::function<void(bool)> task = std::exchange(this->endedTask, nullptr);
    if (task) {
        task(whole);
    }
}

void ServerExchange::wake()
{
    if (this->suspended && this->connection != nullptr) {
        this->suspended = false;
        MHD_resume_connection(this->connection);
        // Without this the answer waits for the next event of any connection, because resuming one causes no event.
        this->host->runSoon();
    }
}

} // namespace bergamotweir::net
