#include "http/http_server.hpp"

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <glog/logging.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <utility>

#include "http/worker_pool.hpp"

namespace sailgate::http {
namespace {

namespace rest = web::http;
using StreamBuffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

HttpRequest convert(const rest::http_request& request, std::string body) {
  HttpRequest result;
  result.method = request.method();
  const auto path = request.relative_uri().path();
  for (const auto& segment : web::uri::split_path(path)) {
    result.path.push_back(web::uri::decode(segment));
  }
  result.query = request.relative_uri().query();
  for (const auto& header : request.headers()) result.headers[lower(header.first)] = header.second;
  result.body = std::move(body);
  return result;
}

rest::http_response convert(const HttpResponse& response) {
  rest::http_response result(static_cast<rest::status_code>(response.status));
  for (const auto& [name, value] : response.headers) result.headers().add(name, value);
  return result;
}

/// Reply to one cpprestsdk request.
class RestResponder : public Responder {
 public:
  explicit RestResponder(const rest::http_request& request) : request_(request) {}

  void send(const HttpResponse& response) override {
    auto reply = convert(response);
    reply.set_body(response.body, response.content_type);
    request_.reply(reply).then([](const pplx::task<void>& task) { observe(task); });
  }

  void begin_stream(const HttpResponse& head) override {
    auto reply = convert(head);
    reply.set_body(buffer_.create_istream(), head.content_type);
    auto gone = gone_;
    request_.reply(reply).then([gone](const pplx::task<void>& task) {
      if (!observe(task)) gone->store(true);
    });
  }

  bool write(const std::string& chunk) override {
    if (gone_->load()) return false;
    buffer_.putn_nocopy(reinterpret_cast<const std::uint8_t*>(chunk.data()), chunk.size()).wait();
    buffer_.sync().wait();
    return !gone_->load();
  }

  void end_stream() override { buffer_.close(std::ios_base::out).wait(); }

 private:
  /// Takes a reply's exception, which means that the client is gone.
  static bool observe(const pplx::task<void>& task) {
    try {
      task.get();
      return true;
    } catch (const std::exception&) {
      return false;
    }
  }

  rest::http_request request_;
  StreamBuffer buffer_;
  std::shared_ptr<std::atomic<bool>> gone_ = std::make_shared<std::atomic<bool>>(false);
};

}  // namespace

class HttpServer::Listener {
 public:
  Listener(Options options, Handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        pool_(options_.workers, options_.queue_limit),
        listener_(address(options_)) {
    listener_.support([this](const rest::http_request& request) { receive(request); });
    listener_.open().wait();
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() {
    try {
      listener_.close().wait();
    } catch (const std::exception& error) {
      LOG(WARNING) << "closing the listener: " << error.what();
    }
    pool_.stop();
  }

  std::size_t pending() const { return pool_.pending(); }

 private:
  static web::uri address(const Options& options) {
    web::uri_builder builder;
    builder.set_scheme("http").set_host(options.host).set_port(options.port).set_path("/");
    return builder.to_uri();
  }

  void receive(const rest::http_request& request) {
    const auto declared = request.headers().content_length();
    if (declared > options_.body_limit) {
      RestResponder(request).send(options_.too_large);
      return;
    }
    // NOTE: no thread of the library's pool may wait for a task of that pool: under load all of
    // them did, and requests hung until their clients gave up.
    request.extract_vector().then(
        [this, request](const pplx::task<std::vector<std::uint8_t>>& body) {
          try {
            accept(request, body.get());
          } catch (const std::exception& error) {
            // The client broke off or sent a damaged body; there is nobody to answer.
            VLOG(1) << "unreadable request: " << error.what();
          }
        });
  }

  void accept(const rest::http_request& request, const std::vector<std::uint8_t>& body) {
    auto responder = std::make_shared<RestResponder>(request);
    if (body.size() > options_.body_limit) {
      responder->send(options_.too_large);
      return;
    }
    auto converted = convert(request, std::string(body.begin(), body.end()));
    const bool taken = pool_.submit(
        [this, responder, converted = std::move(converted)] { handler_(converted, *responder); });
    if (!taken) responder->send(options_.busy);
  }

  Options options_;
  Handler handler_;
  WorkerPool pool_;
  rest::experimental::listener::http_listener listener_;
};

HttpServer::HttpServer(Options options, Handler handler)
    : listener_(std::make_unique<Listener>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() = default;

std::size_t HttpServer::pending() const { return listener_->pending(); }

void initialize_http(std::size_t threads) {
  crossplat::threadpool::initialize_with_threads(threads);
}

}  // namespace sailgate::http
