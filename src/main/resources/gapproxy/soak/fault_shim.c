/*
 * LD_PRELOAD library that makes system calls of one process fail with documented errors, and steps its wall clock.
 *
 * GAPPROXY_SHIM   Comma-separated faults of the form CALL=WHAT/EVERY@SIDE. CALL: accept, connect, socket, read, write. WHAT: the name of
 *                 an errno value, or "short" for a read or write of one byte. EVERY: one in this many calls fails. SIDE: "client" for
 *                 connections to the port in GAPPROXY_SHIM_PORT, "server" for all others, "any" for both. connect and socket
 *                 calls fail for any SIDE. "clock=SECONDS/AFTER" steps the wall clock by SECONDS once AFTER seconds have passed
 *                 since the start.
 * GAPPROXY_SHIM_PORT    The port on which the gateway listens.
 * GAPPROXY_SHIM_COUNT   A file of 8 bytes that holds the number of injected faults.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, CONNECT, SOCKET, READ, WRITE, CALLS };
enum side { ANY, CLIENT, SERVER };

struct fault {
  int error; /* 0: transfer one byte */
  int every; /* 0: no fault */
  enum side side;
  atomic_long calls;
};

static const char *const NAMES[CALLS] = {"accept", "connect", "socket", "read", "write"};
static const struct { const char *name; int error; } ERRORS[] = {
    {"short", 0}, {"ECONNABORTED", ECONNABORTED}, {"EMFILE", EMFILE}, {"ENFILE", ENFILE}, {"ENOBUFS", ENOBUFS}, {"EINTR", EINTR},
    {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"ENETUNREACH", ENETUNREACH}, {"EHOSTUNREACH", EHOSTUNREACH}, {"ETIMEDOUT", ETIMEDOUT},
    {"ECONNREFUSED", ECONNREFUSED}, {"ECONNRESET", ECONNRESET}, {"EPIPE", EPIPE}};

static struct fault faults[CALLS];
static int listen_port;
static long step_seconds;
static double step_after_seconds;
static struct timespec started;
static _Atomic long *injected_count;
static _Atomic long unmapped_count;
static pthread_once_t once = PTHREAD_ONCE_INIT;

/* Parses one fault; unknown names are ignored. */
static void parse_fault(char *part) {
  char call[16], what[24], side[16] = "any";
  int every = 0;
  if (sscanf(part, "clock=%ld/%lf", &step_seconds, &step_after_seconds) == 2) return;
  if (sscanf(part, "%15[a-z]=%23[A-Za-z]/%d@%15s", call, what, &every, side) < 3) return;
  for (int c = 0; c < CALLS; c++) {
    for (size_t e = 0; e < sizeof ERRORS / sizeof *ERRORS; e++) {
      if (!strcmp(call, NAMES[c]) && !strcmp(what, ERRORS[e].name)) {
        faults[c].error = ERRORS[e].error;
        faults[c].side = !strcmp(side, "client") ? CLIENT : !strcmp(side, "server") ? SERVER : ANY;
        faults[c].every = every;
      }
    }
  }
}

/* Reads the settings from the environment, at the first intercepted call. */
static void load_settings(void) {
  const char *spec = getenv("GAPPROXY_SHIM"), *port = getenv("GAPPROXY_SHIM_PORT"), *file = getenv("GAPPROXY_SHIM_COUNT");
  injected_count = &unmapped_count;
  listen_port = port ? atoi(port) : 0;
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &started);
  if (file) {
    int fd = open(file, O_RDWR | O_CREAT, 0600);
    if (fd >= 0 && ftruncate(fd, 8) == 0) {
      void *at = mmap(NULL, 8, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
      if (at != MAP_FAILED) injected_count = at;
    }
    if (fd >= 0) close(fd);
  }
  if (spec) {
    char text[512], *rest = text;
    snprintf(text, sizeof text, "%s", spec);
    for (char *part = strsep(&rest, ","); part; part = strsep(&rest, ",")) parse_fault(part);
  }
}

/* Whether a socket's local port belongs to the given side; false for descriptors that are no IP sockets. */
static int matches_side(int fd, enum side side) {
  struct sockaddr_storage at;
  socklen_t length = sizeof at;
  if (getsockname(fd, (struct sockaddr *)&at, &length) < 0) return 0;
  int port = at.ss_family == AF_INET ? ntohs(((struct sockaddr_in *)&at)->sin_port)
           : at.ss_family == AF_INET6 ? ntohs(((struct sockaddr_in6 *)&at)->sin6_port) : -1;
  return port > 0 && (side == ANY || (side == CLIENT) == (port == listen_port));
}

/* Whether this call must fail, and sets errno if so. fd is -1 where the socket's side isn't known yet. */
static int should_fail(enum call c, int fd) {
  pthread_once(&once, load_settings);
  struct fault *f = &faults[c];
  if (f->every <= 0) return 0;
  int saved = errno;
  int side = fd < 0 || matches_side(fd, f->side);
  errno = saved;
  if (!side || atomic_fetch_add(&f->calls, 1) % f->every != f->every - 1) return 0;
  atomic_fetch_add(injected_count, 1);
  if (f->error) errno = f->error;
  return 1;
}

/* Declares `real`, the next definition of an intercepted function. */
#define REAL(type, name, ...) \
  static type (*real)(__VA_ARGS__); \
  if (!real) real = (type (*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

int accept(int fd, struct sockaddr *at, socklen_t *length) {
  REAL(int, "accept", int, struct sockaddr *, socklen_t *);
  return should_fail(ACCEPT, fd) ? -1 : real(fd, at, length);
}

int accept4(int fd, struct sockaddr *at, socklen_t *length, int flags) {
  REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
  return should_fail(ACCEPT, fd) ? -1 : real(fd, at, length, flags);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
  REAL(int, "connect", int, const struct sockaddr *, socklen_t);
  return should_fail(CONNECT, -1) ? -1 : real(fd, to, length);
}

int socket(int domain, int type, int protocol) {
  REAL(int, "socket", int, int, int);
  return should_fail(SOCKET, -1) ? -1 : real(domain, type, protocol);
}

ssize_t read(int fd, void *into, size_t n) {
  REAL(ssize_t, "read", int, void *, size_t);
  if (n > 1 && should_fail(READ, fd)) return faults[READ].error ? -1 : real(fd, into, 1);
  return real(fd, into, n);
}

ssize_t write(int fd, const void *from, size_t n) {
  REAL(ssize_t, "write", int, const void *, size_t);
  if (n > 1 && should_fail(WRITE, fd)) return faults[WRITE].error ? -1 : real(fd, from, 1);
  return real(fd, from, n);
}

ssize_t writev(int fd, const struct iovec *from, int n) {
  REAL(ssize_t, "writev", int, const struct iovec *, int);
  if (n > 0 && from[0].iov_len > 1 && should_fail(WRITE, fd)) {
    struct iovec one = {from[0].iov_base, 1};
    return faults[WRITE].error ? -1 : real(fd, &one, 1);
  }
  return real(fd, from, n);
}

/* Steps a wall-clock reading once the configured time has passed. */
static void step_clock(long *seconds) {
  struct timespec now;
  pthread_once(&once, load_settings);
  if (!step_seconds) return;
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  if (now.tv_sec - started.tv_sec + (now.tv_nsec - started.tv_nsec) / 1e9 > step_after_seconds) {
    *seconds += step_seconds;
    atomic_fetch_add(injected_count, 1);
  }
}

int clock_gettime(clockid_t clock, struct timespec *at) {
  REAL(int, "clock_gettime", clockid_t, struct timespec *);
  int done = real(clock, at);
  if (!done && clock == CLOCK_REALTIME) step_clock(&at->tv_sec);
  return done;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
  REAL(int, "gettimeofday", struct timeval *, void *);
  int done = real(at, zone);
  if (!done) step_clock(&at->tv_sec);
  return done;
}
