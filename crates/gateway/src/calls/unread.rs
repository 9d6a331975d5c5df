//! Answers that nobody waits for any more.
//!
//! A call ends when its caller leaves, or when another attempt is answered first. The answer to an attempt
//! that is still running may be on its way then. It may say that the target wants rest or leaves, which
//! the target takes for known from then on, so its head is read if it arrives soon.

use super::{body::RequestBody, pool::Connection};
use crate::{
    adapter::{CallAdapter, PlatformAdapter},
    gateway::Gateway,
};
use azuretally_policy::{
    Timestamp,
    balance::{ProcessId, UNREAD_ANSWER_TIME},
};
use futures_util::future::LocalBoxFuture;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, client::conn::TrySendError};
use std::{
    fmt::{self, Debug, Formatter},
    future::{pending, poll_fn},
    rc::Rc,
    sync::Arc,
    task::Poll,
};
use tokio::{sync::mpsc, task::JoinSet, time::timeout};

/// Process of a target that a request was sent to.
#[derive(Clone, Debug)]
pub(super) struct RequestedTarget {
    /// Service of the target.
    pub(super) service: Arc<str>,
    /// Name of the target.
    pub(super) name: Arc<str>,
    /// Process that the platform listed.
    pub(super) process: ProcessId,
    /// When the request was sent.
    pub(super) sent_at: Timestamp,
}

impl RequestedTarget {
    /// Records what `response` says of the target. Returns whether it says that it leaves.
    pub(super) fn record_notice<Adapter>(
        &self,
        gateway: &Gateway<Adapter>,
        response: &Response<Incoming>,
    ) -> bool
    where
        Adapter: CallAdapter + PlatformAdapter,
    {
        // Another process says nothing about this one.
        if !self.is_sender(gateway, response) {
            return false;
        }
        let Self { service, name, process, sent_at } = self;
        let notice = gateway.adapter.parse_notice(response.status(), response.headers());
        gateway.record_notice(service, name, *process, &notice, *sent_at);
        notice.leaving
    }

    fn is_sender<Adapter>(&self, gateway: &Gateway<Adapter>, response: &Response<Incoming>) -> bool
    where
        Adapter: CallAdapter + PlatformAdapter,
    {
        let answering = gateway.adapter.parse_probe_response(response.headers()).target;
        response.status() != StatusCode::MISDIRECTED_REQUEST
            && answering.is_none_or(|answering| answering == self.name)
    }
}

type HeadFuture = LocalBoxFuture<'static, Result<Response<Incoming>, SendFailure>>;
type SendFailure = TrySendError<Request<RequestBody>>;

/// Answer that is still to come, with the connection on which it will arrive.
pub(super) struct UnreadAnswer {
    head: HeadFuture,
    target: RequestedTarget,
    _connection: Connection,
}

/// Request that was sent on a connection. If it is dropped before the head of the answer has arrived, the
/// answer is passed on to be read without a call.
pub(super) struct SentRequest<'a> {
    state: Option<(HeadFuture, Connection)>,
    /// Target that the request was sent to, `None` for another gateway.
    target: Option<&'a RequestedTarget>,
    unread: &'a mpsc::UnboundedSender<UnreadAnswer>,
}

impl Debug for UnreadAnswer {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("UnreadAnswer").field("target", &self.target).finish_non_exhaustive()
    }
}

impl<'a> SentRequest<'a> {
    /// Sends `request` on `connection`.
    pub(super) fn send(
        mut connection: Connection,
        request: Request<RequestBody>,
        target: Option<&'a RequestedTarget>,
        unread: &'a mpsc::UnboundedSender<UnreadAnswer>,
    ) -> Self {
        let head = Box::pin(connection.sender.try_send_request(request));
        Self { state: Some((head, connection)), target, unread }
    }

    /// Waits for the head of the answer, and returns it with the connection.
    pub(super) async fn head(mut self) -> Result<(Response<Incoming>, Connection), SendFailure> {
        let head = poll_fn(|cx| match &mut self.state {
            Some((head, _)) => head.as_mut().poll(cx),
            None => Poll::Pending,
        });
        let result = head.await;
        let state = self.state.take();
        let response = result?;
        match state {
            Some((_, connection)) => Ok((response, connection)),
            // The state is taken here and when this is dropped.
            None => pending().await,
        }
    }
}

impl Drop for SentRequest<'_> {
    fn drop(&mut self) {
        if let Some((head, connection)) = self.state.take()
            && let Some(target) = self.target
        {
            let answer = UnreadAnswer { head, target: target.clone(), _connection: connection };
            // Sending only fails once the server has ended.
            let _ = self.unread.send(answer);
        }
    }
}

/// Reads the heads of the answers in `unread` until the task is dropped.
pub(super) async fn run<Adapter>(
    gateway: Rc<Gateway<Adapter>>,
    mut unread: mpsc::UnboundedReceiver<UnreadAnswer>,
) where
    Adapter: CallAdapter + PlatformAdapter,
{
    let mut answers = JoinSet::new();
    loop {
        tokio::select! {
            Some(answer) = unread.recv() => {
                answers.spawn_local(read(Rc::clone(&gateway), answer));
            }
            Some(_) = answers.join_next() => {}
            else => return,
        }
    }
}

async fn read<Adapter>(gateway: Rc<Gateway<Adapter>>, answer: UnreadAnswer)
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let UnreadAnswer { head, target, _connection } = answer;
    if let Ok(Ok(response)) = timeout(UNREAD_ANSWER_TIME, head).await {
        target.record_notice(&gateway, &response);
        if target.is_sender(&gateway, &response) {
            let RequestedTarget { service, name, process, sent_at } = &target;
            let mut balancer = gateway.balancer.borrow_mut();
            balancer.record_answer_after_rest(service, name, *process, *sent_at);
        }
        gateway.report_target_changes();
    }
}
