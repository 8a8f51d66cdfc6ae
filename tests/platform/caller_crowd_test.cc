#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <string>
#include <vector>

#include "platform/mesh_fixture.h"

namespace cumin::platform {

namespace {

/** Memory within which the daemon of these tests has to stay. */
constexpr int kMemoryMb = 40;
/** Descriptors within which the daemon of these tests has to stay. */
constexpr int kMaxFds = 300;
constexpr int kCrowd = 1600;
/** The limits that the users configure. */
constexpr int kMaxBodyBytes = 64 << 20;
constexpr std::size_t kMaxHeaderBytes = 16384;
/** As many of these as there are connections in the crowd are together about
    as much as kMemoryMb, each of them far below kMaxBodyBytes. */
constexpr std::size_t kSmallBodyBytes = 32700;
constexpr std::size_t kLargeBodyBytes = std::size_t{8} << 20U;
constexpr int kLargeBodies = 40;
constexpr std::size_t kPieceBytes = 4096;
/** With a copy more than kMemoryMb, without one less. */
constexpr std::size_t kSingleBodyBytes = std::size_t{20} << 20U;
constexpr int kSendTimeoutS = 2;

/** Connections of callers that do not keep to the protocol. */
class Crowd {
 public:
  Crowd(const Endpoint& server, int size) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &name.sin_addr);
    const timeval limit{kSendTimeoutS, 0};
    for (int i = 0; i < size; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
      (void)connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name));
      fds_.push_back(fd);
    }
  }
  ~Crowd() {
    for (const int it : fds_) {
      close(it);
    }
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /** Sends the bytes on every connection; a connection that the server has
      closed is left out. */
  void Send(const std::string& bytes) {
    for (const int it : fds_) {
      std::size_t sent = 0;
      while (sent < bytes.size()) {
        const ssize_t n =
            send(it, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
          break;
        }
        sent += static_cast<std::size_t>(n);
      }
    }
  }

 private:
  std::vector<int> fds_;
};

std::string Head(const std::string& path, const std::string& framing) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd\r\n" +
         "X-Deadline-Ms: 5000\r\n" + framing + "\r\n\r\n";
}

std::string LengthHead(const std::string& path, std::size_t length) {
  return Head(path, "Content-Length: " + std::to_string(length));
}

/** Callers that the operators do not control: each request is legal so far, but
    most of them stop short of their end and stay open. */
class CallerCrowdTest : public MeshFixture {
  CPPUNIT_TEST_SUITE(CallerCrowdTest);
  CPPUNIT_TEST(TestUnfinishedBodiesOfCallersStayInMemory);
  CPPUNIT_TEST(TestUnfinishedBodiesOfPeersStayInMemory);
  CPPUNIT_TEST(TestUnfinishedPiecesStayInMemory);
  CPPUNIT_TEST(TestUnfinishedLargeBodiesStayInMemory);
  CPPUNIT_TEST(TestUnfinishedReportsStayInMemory);
  CPPUNIT_TEST(TestUnfinishedHeadersStayInMemory);
  CPPUNIT_TEST(TestSilentConnectionsLeaveDescriptors);
  CPPUNIT_TEST(TestSingleLargeBodyIsServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    MeshFixture::setUp();
    SetConfiguration(test::MakeConfigurationText(
        1, {{"r", "/p1/", "idempotent", "svc"}}, kMaxBodyBytes));
    extra_settings_ = "memory_mb: " + std::to_string(kMemoryMb) + "\n";
  }

  // Operators' wish: many bodies of legal size, most of them stopping just
  // short of their end, ended a process that ran out of memory.
  void TestUnfinishedBodiesOfCallersStayInMemory() {
    StartMesh();
    CheckCrowd(vms_[0]->addresses.callers, kCrowd,
               LengthHead("/p1/", kSmallBodyBytes) + Filler(kSmallBodyBytes));
  }

  void TestUnfinishedBodiesOfPeersStayInMemory() {
    StartMesh();
    CheckCrowd(vms_[0]->addresses.peers, kCrowd,
               LengthHead("/p1/", kSmallBodyBytes) + Filler(kSmallBodyBytes));
  }

  void TestUnfinishedPiecesStayInMemory() {
    StartMesh();
    Crowd crowd(vms_[0]->addresses.callers, kCrowd);
    crowd.Send(Head("/p1/", "Transfer-Encoding: chunked"));
    const std::string piece =
        "1000\r\n" + std::string(kPieceBytes, 'x') + "\r\n";
    for (std::size_t n = 0; n < kSmallBodyBytes; n += kPieceBytes) {
      crowd.Send(piece);
    }
    CheckDaemon();
  }

  void TestUnfinishedLargeBodiesStayInMemory() {
    StartMesh();
    CheckCrowd(vms_[0]->addresses.callers, kLargeBodies,
               LengthHead("/p1/", kLargeBodyBytes) + Filler(kLargeBodyBytes));
  }

  void TestUnfinishedReportsStayInMemory() {
    StartMesh();
    CheckCrowd(vms_[0]->addresses.announcements, kLargeBodies,
               LengthHead("/instances/i-crowd", kLargeBodyBytes) +
                   Filler(kLargeBodyBytes));
  }

  void TestUnfinishedHeadersStayInMemory() {
    StartMesh();
    std::string head = Head("/p1/", "Filler: ");
    head.resize(head.size() - 4);
    head.resize(kMaxHeaderBytes - 1, 'x');
    CheckCrowd(vms_[0]->addresses.callers, kCrowd, head);
  }

  void TestSilentConnectionsLeaveDescriptors() {
    extra_settings_ += "max_fds: " + std::to_string(kMaxFds) + "\n";
    StartMesh();
    for (const Endpoint& it :
         {vms_[0]->addresses.callers, vms_[0]->addresses.peers,
          vms_[0]->addresses.announcements, vms_[0]->addresses.readiness}) {
      CheckCrowd(it, kCrowd, "");
      const int fds = OpenDescriptors();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(fds), fds <= kMaxFds);
    }
  }

  // A single request inside the limits is served in calm, and takes no second
  // copy of its body.
  void TestSingleLargeBodyIsServed() {
    StartMesh();
    HttpRequest request;
    request.method = "POST";
    request.path = "/p1/upload";
    request.headers.Set("Host", "shop.example");
    request.headers.Set(kAttempt, "single");
    request.headers.Set("X-Deadline-Ms", "5000");
    request.body.assign(kSingleBodyBytes, 'x');
    CPPUNIT_ASSERT_EQUAL(200, Send(vms_[1]->addresses.callers, request).status);
    CheckDaemon();
  }

 private:
  void StartMesh() {
    StartVm("svc");
    StartVm("caller");
    Announce(*vms_[0], "ready", 1);
    AwaitAnswer(*vms_[0], "/p1/", 200);
    AwaitAnswer(*vms_[1], "/p1/", 200);
  }

  static std::string Filler(std::size_t body_bytes) {
    return std::string(body_bytes - 1, 'x');
  }

  /** Sends the bytes on each connection of a crowd, and checks the daemon while
      the crowd stays open. */
  void CheckCrowd(const Endpoint& server, int size, const std::string& bytes) {
    Crowd crowd(server, size);
    crowd.Send(bytes);
    CheckDaemon();
  }

  void CheckDaemon() {
    AwaitAnswer(*vms_[0], "/p1/ordinary", 200);
    AwaitAnswer(*vms_[1], "/p1/ordinary", 200);
    for (const auto& it : vms_) {
      CPPUNIT_ASSERT(it->daemon->IsRunning());
      const int peak_mb = PeakMemoryMb(*it);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(peak_mb) + " MB",
                             peak_mb < kMemoryMb);
    }
  }

  int OpenDescriptors() const {
    const std::filesystem::path folder =
        "/proc/" + std::to_string(vms_[0]->daemon->pid()) + "/fd";
    return static_cast<int>(
        std::distance(std::filesystem::directory_iterator(folder),
                      std::filesystem::directory_iterator()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerCrowdTest);

}  // namespace

}  // namespace cumin::platform
