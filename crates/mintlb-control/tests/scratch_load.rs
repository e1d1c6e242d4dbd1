include!("store_cluster.rs");

fn cpu() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}
fn rss() -> String {
    let s = std::fs::read_to_string("/proc/self/status").unwrap();
    s.lines().filter(|l| l.starts_with("VmRSS") || l.starts_with("VmHWM")).collect::<Vec<_>>().join(" ")
}

#[tokio::test]
async fn scratch_load() {
    let cluster = Cluster::start(3).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    cluster.client.submit(lot("warm", 1, 0), 7, WITHIN).await;
    println!("start {} {}", cpu(), rss());
    let n = 100;
    let c0 = cpu();
    let t0 = std::time::Instant::now();
    for i in 0..n {
        let a = cluster.client.submit(lot(&format!("l{i}"), 40, 0), 7, WITHIN).await;
        assert!(matches!(a, SubmitOutcome::Accepted { .. }));
    }
    println!(
        "{n} lots of 200 KB: cpu {:.2} ms each, wall {:.2} ms each, {}",
        (cpu() - c0) * 1000.0 / n as f64,
        t0.elapsed().as_secs_f64() * 1000.0 / n as f64,
        rss()
    );
    for batch in [1usize, 8] {
        let c0 = cpu();
        let t0 = std::time::Instant::now();
        let text = Bytes::from(vec![b'x'; 5000]);
        let m = 1000;
        for i in 0..m / batch {
            let calls: Vec<_> = (0..batch)
                .map(|k| {
                    let j = i * batch + k;
                    let l = format!("l{}", (j / 40) + if batch == 8 { 50 } else { 0 });
                    let client = &cluster.client;
                    let text = text.clone();
                    async move { client.record(HOST, &l, (j % 40) as u32, ItemResult::Completed(text)).await }
                })
                .collect();
            let mut set = Vec::new();
            for c in calls {
                set.push(Box::pin(c));
            }
            // poll together
            let mut done = vec![false; set.len()];
            std::future::poll_fn(|cx| {
                let mut all = true;
                for (f, d) in set.iter_mut().zip(done.iter_mut()) {
                    if !*d {
                        match f.as_mut().poll(cx) {
                            std::task::Poll::Ready(r) => {
                                assert!(r);
                                *d = true
                            }
                            _ => all = false,
                        }
                    }
                }
                if all { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
            })
            .await;
        }
        println!(
            "{m} results of 5 KB, {batch} at a time: cpu {:.3} ms each, wall {:.2} ms each, {}",
            (cpu() - c0) * 1000.0 / m as f64,
            t0.elapsed().as_secs_f64() * 1000.0 / m as f64,
            rss()
        );
    }
    let c0 = cpu();
    for i in 0..200 {
        cluster.client.read(HOST, &format!("l{}", i % 20), 0, Duration::ZERO, 1 << 20).await;
    }
    println!("200 reads of 200 KB: cpu {:.3} ms each, {}", (cpu() - c0) * 1000.0 / 200.0, rss());
    let c0 = cpu();
    tokio::time::sleep(Duration::from_secs(5)).await;
    println!("idle 5 s: cpu {:.3}", cpu() - c0);
    for d in &cluster.directories {
        println!("{:?}", std::fs::metadata(d.path().join("lots.redb")).unwrap().len() >> 10);
    }
}
