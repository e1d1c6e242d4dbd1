//! Clients of batch jobs: they submit, read and end their tenant's jobs with any of its keys, and
//! try the other tenant's.

use super::calls::{Client, ClientContext, NewCall, Purpose};
use super::configuration::{JOB_TENANTS, TENANTS};
use crate::workers::BATCH_PREFIX;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const CLIENTS_PER_TENANT: usize = 2;
const ITEMS: usize = 3;
const READS: usize = 3;
const MAX_ATTEMPTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(100);
/// Numbers of these clients begin here.
const FIRST_NUMBER: usize = 500;

/// The job of an item's id.
pub fn job_of_item(item: &str) -> &str {
    item.rsplit_once('-').map_or(item, |(job, _)| job)
}

/// Starts all clients; they end when they are told to stop.
pub fn start(context: &ClientContext) -> Vec<JoinHandle<()>> {
    let numbers = 0..JOB_TENANTS * CLIENTS_PER_TENANT;
    let clients = numbers.map(|number| {
        let (tenant, _) = TENANTS[number % JOB_TENANTS];
        let client = Client::new(context.clone(), tenant, FIRST_NUMBER + number);
        tokio::spawn(run(client, number))
    });
    clients.collect()
}

async fn run(mut client: Client, number: usize) {
    for job in 0.. {
        if client.is_stopped() {
            return;
        }
        let id = format!("job-{}-{number}-{job}", client.context.seed);
        if submit(&mut client, &id).await {
            for _ in 0..READS {
                let own = client.own_key();
                on_job(&mut client, &id, own, Purpose::Read).await;
                let any = client.any_key();
                on_job(&mut client, &id, any, Purpose::Read).await;
                sleep(PAUSE).await;
            }
            if client.random.bool() {
                let own = client.own_key();
                on_job(&mut client, &id, own, Purpose::End).await;
                let own = client.own_key();
                on_job(&mut client, &id, own, Purpose::Read).await;
            }
        }
        sleep(PAUSE).await;
    }
}

/// Submits a job; whether it is accepted.
async fn submit(client: &mut Client, id: &str) -> bool {
    let items: Vec<serde_json::Value> = (0..ITEMS)
        .map(|item| {
            let item = format!("{id}-{item}");
            serde_json::json!({
                "instance_id": item, "path": format!("{BATCH_PREFIX}{item}"), "headers": {},
                "body": "q83v", "tokens": 100,
            })
        })
        .collect();
    let body = serde_json::json!({ "requests": items }).to_string();
    for _ in 0..MAX_ATTEMPTS {
        let key = Some(client.own_key());
        let call = NewCall {
            purpose: Purpose::Submit,
            id,
            key,
            method: "POST",
            path: BATCH_PREFIX,
            body: body.clone(),
        };
        if client
            .call(call)
            .await
            .is_some_and(|answer| answer.status == 202)
        {
            return true;
        }
        sleep(PAUSE).await;
    }
    false
}

async fn on_job(client: &mut Client, id: &str, key: String, purpose: Purpose) {
    let method = match purpose {
        Purpose::End => "DELETE",
        _ => "GET",
    };
    let path = format!("/v1/lots/{id}");
    let call = NewCall {
        purpose,
        id,
        key: Some(key),
        method,
        path: &path,
        body: String::new(),
    };
    client.call(call).await;
}
