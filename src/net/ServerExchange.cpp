#include "net/ServerExchange.h"

#include <microhttpd.h>

#include <cassert>

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
    ++to.inProgress;
    handler(this->self.lock());
}

void ServerExchange::abandon()
{
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
    if (this->host != nullptr) {
        --this->host->inProgress;
    }
    this->host = nullptr;
    this->connection = nullptr;
}

void ServerExchange::wake()
{
    if (this->suspended && this->connection != nullptr) {
        this->suspended = false;
        MHD_resume_connection(this->connection);
        // Without this the answer waits for the next byte from anyone: a resumed connection makes no event.
        this->host->runSoon();
    }
}

} // namespace bergamotweir::net
