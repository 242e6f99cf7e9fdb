#include "net/SocketSet.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace bergamotweir::net {

namespace {

constexpr int Batch = 64;

unsigned eventsOf(loop::Readiness interest)
{
    return (interest.readable ? static_cast<unsigned>(EPOLLIN) : 0)
           | (interest.writable ? static_cast<unsigned>(EPOLLOUT) : 0);
}

} // namespace

SocketSet::SocketSet(loop::EventLoop &loop, std::function<void(int, loop::Readiness)> ready)
    : loop(loop)
    , ready(std::move(ready))
    , set(epoll_create1(EPOLL_CLOEXEC))
{
    this->loop.watch(this->set, {.readable = true}, [this](loop::Readiness) {
        this->onReady();
    });
}

SocketSet::~SocketSet()
{
    this->loop.unwatch(this->set);
    close(this->set);
}

void SocketSet::watch(int socket, loop::Readiness interest)
{
    Entry &entry = this->entries[socket];
    entry.wanted = eventsOf(interest);
    if (entry.wanted != 0 && entry.wanted != entry.registered) {
        this->enter(socket, entry, entry.wanted);
    }
}

void SocketSet::forget(int socket)
{
    const auto found = this->entries.find(socket);
    if (found != this->entries.end()) {
        this->enter(socket, found->second, 0);
        this->entries.erase(found);
    }
}

void SocketSet::onReady()
{
    std::array<epoll_event, Batch> events{};
    const int count = epoll_wait(this->set, events.data(), Batch, 0);
    for (int i = 0; i < count; ++i) {
        const int socket = events[i].data.fd;
        const auto found = this->entries.find(socket);
        if (found == this->entries.end()) {
            continue;
        }
        const unsigned wanted = found->second.wanted;
        if (wanted == 0) {
            // An idle connection was closed by its peer, or has unsolicited bytes to read.
            this->enter(socket, found->second, 0);
            continue;
        }
        const bool broken = (events[i].events & (EPOLLERR | EPOLLHUP)) != 0;
        const unsigned happened = broken ? wanted : events[i].events & wanted;
        if (happened != 0) {
            this->ready(socket, {.readable = (happened & EPOLLIN) != 0, .writable = (happened & EPOLLOUT) != 0});
        }
    }
}

void SocketSet::enter(int socket, Entry &entry, unsigned events) const
{
    if (entry.registered == events) {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.fd = socket;
    const int operation = events == 0 ? EPOLL_CTL_DEL : entry.registered == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    epoll_ctl(this->set, operation, socket, &event);
    entry.registered = events;
}

} // namespace bergamotweir::net
